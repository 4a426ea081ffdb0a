/** What a node and the others remember of servers that have announced that they leave. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createLeavingServers} from '../../src/relay/leaving-servers.js';

function createNode(announcements: readonly string[] = []) {
	const clock = {now: 0};
	const announced: string[] = [];
	const learned: string[] = [];
	const servers = createLeavingServers({
		onLearned: () => learned.push('learned'),
		now: () => clock.now,
		sleep: async () => undefined,
	});
	let hear: (id: string, payload: Uint8Array) => void = () => undefined;
	const attach = (): void => {
		servers.attach({
			announce: id => announced.push(id),
			announcements: () => announcements,
			onAnnouncement(listener) {
				hear = listener;
			},
			all: () => [],
		});
	};

	return {
		servers,
		clock,
		announced,
		learned,
		attach,
		hear(id: string) {
			hear(id, new Uint8Array(0));
		},
	};
}

const server = {id: 'server-1', startedAt: 5};

test('what one node records, another one and its own next life learn', () => {
	const first = createNode();
	first.servers.record(server);
	expect(first.announced).toEqual([]);
	first.attach();
	first.servers.record(server);
	expect(first.announced.length).toEqual(1);
	const later = createNode();
	later.attach();
	expect(later.servers.isLeaving(server)).toEqual(false);
	later.hear(first.announced[0]!);
	const restarted = createNode(first.announced);
	restarted.attach();
	for (const node of [later, restarted]) {
		expect(node.servers.isLeaving(server)).toEqual(true);
		expect(node.learned.length).toEqual(1);
	}
});

test('a server that starts again with the same id does not leave; one whose start is unknown may be the same', () => {
	const {servers} = createNode();
	servers.record(server);
	expect(servers.isLeaving({id: 'server-1', startedAt: 6})).toEqual(false);
	expect(servers.isLeaving({id: 'server-1', startedAt: undefined})).toEqual(true);
	expect(servers.isLeaving({id: 'server-2', startedAt: 5})).toEqual(false);
	servers.record({id: 'server-2', startedAt: undefined});
	expect(servers.isLeaving({id: 'server-2', startedAt: 5})).toEqual(true);
});

test('other announcements are ignored, and servers are forgotten after their time', () => {
	const {servers, clock, learned, attach, hear} = createNode();
	attach();
	for (const id of ['leaving', 'leaving::', 'leaving:x:y', 'suspect:1:server-1']) {
		hear(id);
	}

	expect(learned).toEqual([]);
	servers.record(server);
	clock.now = 200_000;
	servers.record({id: 'server-2', startedAt: 5});
	expect(servers.isLeaving(server)).toEqual(false);
});
