/** How a node learns of changed routes: from the table if it is a poller, otherwise from peers. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {err, ok} from 'neverthrow';
import type {Member, Membership} from '../../src/membership/index.js';
import {
	followRoutes,
	routeSourceErrors,
	type RoutesReading,
	type TablePosition,
} from '../../src/relay/routes-follower.js';
import {routesTopic, followPeerRoutes} from '../../src/relay/peer-routes.js';
import {createRoutesHolder, type RoutesHolder} from '../../src/relay/active-routes.js';

const ignore = (): void => undefined;
const silentLog = {info: ignore, warn: ignore, error: ignore};

function createHolder(): RoutesHolder {
	return createRoutesHolder({
		decode: text =>
			ok({
				version: Number(text),
				routes: [],
				services: [],
				teams: [],
				limits: {
					maximumHeaderBytes: 1,
					maximumBodyBytes: 1,
					headerTimeoutMilliseconds: 1,
					idleTimeoutMilliseconds: 1,
				},
			}),
		log: silentLog,
		now: () => performance.now(),
		onChange: ignore,
	});
}

function createReading(text: string, era: number, version: number): RoutesReading {
	return {text, position: {era, version}, evacuations: [], isComplete: false};
}

async function waitUntil(condition: () => boolean): Promise<void> {
	for (let tries = 0; tries < 200 && !condition(); tries += 1) {
		await sleep(20);
	}
}

test('a node polls the table for changes only while it is a poller', async () => {
	const holder = createHolder();
	const role = {isPoller: false};
	let polls = 0;
	const follower = followRoutes({
		source: {
			read: async () => ok(createReading('1', 0, 4)),
			async awaitChange({era, version}) {
				polls += 1;
				await sleep(5);
				return ok(createReading(String(version), era, version + 1));
			},
		},
		holder,
		log: silentLog,
		isPoller: () => role.isPoller,
		random: () => 0.5,
		onEra: ignore,
		onReading: ignore,
	});
	await sleep(400);
	expect(holder.current()?.table.version).toEqual(1);
	expect(polls).toEqual(0);
	role.isPoller = true;
	await waitUntil(() => (holder.current()?.table.version ?? 0) >= 5);
	follower.close();
	expect(polls).toBeGreaterThan(0);
});

test('a poller reads the routes again after the table failed or lost its history', async () => {
	const holder = createHolder();
	const readings: RoutesReading[] = [
		createReading('1', 1, 8),
		createReading('1', 1, 8),
		createReading('4', 2, 8),
		createReading('6', 3, 9),
	];
	const errors = [routeSourceErrors.unavailable, routeSourceErrors.historyGone];
	const polled: TablePosition[] = [];
	const eras: number[] = [];
	const follower = followRoutes({
		source: {
			read: async () => ok(readings.length > 1 ? readings.shift()! : readings[0]!),
			async awaitChange(position) {
				polled.push(position);
				const kind = errors.shift();
				if (kind !== undefined) {
					return err({kind, message: 'restored'});
				}

				await sleep(60_000, undefined, {ref: false});
				return ok(readings[0]!);
			},
		},
		holder,
		log: silentLog,
		isPoller: () => true,
		random: () => 0,
		onEra(era) {
			eras.push(era);
		},
		onReading: ignore,
	});
	await waitUntil(() => polled.length === 3);
	follower.close();
	expect(polled).toEqual([
		{era: 1, version: 8},
		{era: 2, version: 8},
		{era: 3, version: 9},
	]);
	expect(eras).toEqual([1, 2, 3]);
	expect(holder.current()?.table.version).toEqual(6);
});

type PeersView = Pick<Membership, 'onVersion' | 'versionOf' | 'all' | 'self'>;

function createMember(nodeId: string, failureDomain: string): Member {
	return {
		nodeId,
		failureDomain,
		incarnation: 1,
		status: 'alive',
		host: '127.0.0.1',
		peerPort: 1,
		controlPort: 2,
		region: 'coast',
		slots: 1,
		revision: 1,
	};
}

/** A view in which a version is known from the start, or only once it is announced. */
function createPeersView(members: readonly Member[], version: number, isKnown = false) {
	let known = isKnown ? version : 0;
	let announce: ((from: string) => void) | undefined;
	const membership: PeersView = {
		all: () => members,
		self: () => createMember('self', 'near'),
		versionOf: () => known,
		onVersion(listener) {
			announce = from => {
				known = version;
				listener(routesTopic, version, from);
			};
		},
	};
	return {membership, announce: (from: string) => announce?.(from)};
}

test('a node that got no routes from its peers asks again without another announcement', async () => {
	const holder = createHolder();
	const members = ['one', 'two', 'three', 'four', 'five', 'six'].map(name =>
		createMember(name, 'far'),
	);
	const {membership, announce} = createPeersView(members, 7);
	let asked = 0;
	const follower = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		async ask() {
			asked += 1;
			return asked > 7 ? '7' : undefined;
		},
	});
	announce('one');
	await waitUntil(() => holder.current()?.table.version === 7);
	follower.close();
	expect(holder.current()?.table.version).toEqual(7);
	expect(asked).toEqual(8);
});

test('nodes of the own failure domain are asked first, then the announcer, then the own region', async () => {
	const holder = createHolder();
	const members = [
		{...createMember('remote', 'distant'), region: 'inland'},
		createMember('sibling', 'far'),
		createMember('near', 'near'),
		{...createMember('announcer', 'distant'), region: 'inland'},
	];
	const {membership, announce} = createPeersView(members, 3);
	const order: string[] = [];
	const follower = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		async ask({nodeId}) {
			order.push(nodeId);
			return order.length === 4 ? '3' : undefined;
		},
	});
	announce('announcer');
	await waitUntil(() => holder.current() !== undefined);
	follower.close();
	expect(order).toEqual(['near', 'announcer', 'sibling', 'remote']);
});

test('of a failure domain that lacks the version, only two nodes are asked before the announcer', async () => {
	const holder = createHolder();
	const members = ['one', 'two', 'three', 'four'].map(name => createMember(name, 'near'));
	const {membership, announce} = createPeersView(
		[...members, createMember('announcer', 'far')],
		3,
	);
	const order: string[] = [];
	const follower = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		async ask({nodeId}) {
			order.push(nodeId);
			return nodeId === 'announcer' ? '3' : undefined;
		},
	});
	announce('announcer');
	await waitUntil(() => holder.current() !== undefined);
	follower.close();
	expect(order).toEqual(['one', 'two', 'announcer']);
});

test('a node gets from another region what neither its region nor the announcer has', async () => {
	const holder = createHolder();
	const near = ['one', 'two'].map(name => createMember(name, 'near'));
	const sibling = ['three', 'four', 'five', 'six'].map(name => createMember(name, 'far'));
	const remote = {...createMember('remote', 'distant'), region: 'inland'};
	const {membership, announce} = createPeersView([...near, ...sibling, remote], 3);
	const follower = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		ask: async ({nodeId}) => (nodeId === 'remote' ? '3' : undefined),
	});
	announce('six');
	await waitUntil(() => holder.current() !== undefined);
	follower.close();
	expect(holder.current()?.table.version).toEqual(3);
});

test('a region that is still fetching a version asks the announcer of a newer one, which none of its nodes has', async () => {
	const holder = createHolder();
	const near = ['one', 'two'].map(name => createMember(name, 'near'));
	const sibling = ['three', 'four', 'five', 'six'].map(name => createMember(name, 'far'));
	const remote = ['seven', 'eight'].map(name => ({
		...createMember(name, 'distant'),
		region: 'inland',
	}));
	const members = [...near, ...sibling, ...remote];
	const first = createPeersView(members, 3);
	const second = createPeersView(members, 4);
	const asked: string[] = [];
	const follower = followPeerRoutes({
		holder,
		membership: {
			...first.membership,
			versionOf: topic =>
				Math.max(...[first, second].map(view => view.membership.versionOf(topic) ?? 0)),
			onVersion(listener) {
				first.membership.onVersion(listener);
				second.membership.onVersion(listener);
			},
		},
		log: silentLog,
		random: () => 0,
		async ask({nodeId}) {
			asked.push(nodeId);
			// Told of while the first round of questions for the earlier version is under way.
			if (asked.length === 1) {
				second.announce('eight');
			}

			return nodeId === 'eight' ? '4' : undefined;
		},
	});
	first.announce('three');
	await waitUntil(() => holder.current() !== undefined);
	follower.close();
	expect(holder.current()?.table.version).toEqual(4);
	expect(asked.slice(-1)).toEqual(['eight']);
});

test('a node asks the next peer at once when one lacks the version, and takes it from whichever has it first', async () => {
	const holder = createHolder();
	const members = ['one', 'two', 'three'].map(name => createMember(name, 'near'));
	const {membership, announce} = createPeersView(members, 3);
	const asked: string[] = [];
	const ended: string[] = [];
	const follower = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		async ask({nodeId}, {onWaiting, signal}) {
			asked.push(nodeId);
			signal.addEventListener('abort', () => ended.push(nodeId));
			onWaiting();
			await sleep(nodeId === 'one' ? 40 : 60_000, undefined, {ref: false});
			return '3';
		},
	});
	announce('three');
	await waitUntil(() => ended.length > 0);
	follower.close();
	expect(holder.current()?.table.version).toEqual(3);
	expect([asked, ended]).toEqual([
		['three', 'one'],
		['three', 'one'],
	]);
});

test('once a peer begins to send the routes, no other is asked, and those that wait are left', async () => {
	const holder = createHolder();
	const members = ['one', 'two', 'three', 'four'].map(name => createMember(name, 'far'));
	const {membership, announce} = createPeersView(members, 3);
	const asked: string[] = [];
	const left: string[] = [];
	const follower = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		async ask({nodeId}, {onWaiting, onReceiving, signal}) {
			asked.push(nodeId);
			signal.addEventListener('abort', () => left.push(nodeId));
			if (nodeId !== 'two') {
				onWaiting();
				await sleep(60_000, undefined, {ref: false});
				return undefined;
			}

			onReceiving();
			await sleep(400);
			expect(left).toEqual(['one']);
			return '3';
		},
	});
	announce('one');
	await waitUntil(() => holder.current() !== undefined);
	follower.close();
	expect(holder.current()?.table.version).toEqual(3);
	expect(asked).toEqual(['one', 'two']);
});

test('a peer that does not answer holds up the routes only shortly', async () => {
	const holder = createHolder();
	const members = [createMember('silent', 'near'), createMember('announcer', 'far')];
	const {membership, announce} = createPeersView(members, 3);
	const follower = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		async ask({nodeId}) {
			if (nodeId === 'announcer') {
				return '3';
			}

			await sleep(60_000, undefined, {ref: false});
			return undefined;
		},
	});
	announce('announcer');
	await waitUntil(() => holder.current() !== undefined);
	follower.close();
	expect(holder.current()?.table.version).toEqual(3);
});

test('a node that learned of a version while it joined fetches it without another announcement', async () => {
	const holder = createHolder();
	const {membership} = createPeersView([createMember('near', 'near')], 3, true);
	const follower = followPeerRoutes({
		holder,
		membership,
		log: silentLog,
		random: () => 0,
		ask: async () => '3',
	});
	await waitUntil(() => holder.current() !== undefined);
	follower.close();
	expect(holder.current()?.table.version).toEqual(3);
});
