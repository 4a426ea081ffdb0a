/** Which requests a crash casts suspicion on, at the node that saw it and at others. */
import {test} from 'node:test';
import {expect} from 'earl';
import {crashVerdicts} from '../../src/quarantine/index.js';
import type {RelayCall} from '../../src/relay/call.js';
import {
	createCrashQuarantine,
	type CrashQuarantine,
	type CrashQuarantineMembership,
} from '../../src/relay/crash-quarantine.js';
import {createCall} from '../support/relay-call.js';

const {sound, suspect, proven} = crashVerdicts;
const silent = (): void => undefined;

/** Nodes that hear each other's announcements at once. */
function createNodes(count: number): CrashQuarantine[] {
	const listeners: Array<Parameters<CrashQuarantineMembership['onAnnouncement']>[0]> = [];
	return Array.from({length: count}, (_, index) => {
		const node = createCrashQuarantine({
			nodeName: `node-${index}/1`,
			log: {info: silent, warn: silent, error: silent},
			now: () => 0,
		});
		node.attach({
			announce(id, payload) {
				for (const [other, listener] of listeners.entries()) {
					if (other !== index) {
						listener(id, payload);
					}
				}
			},
			announcements: () => [],
			onAnnouncement(listener) {
				listeners.push(listener);
			},
		});
		return node;
	});
}

function createRequest(changes: Partial<RelayCall>): RelayCall {
	return {...createCall('request'), ...changes};
}

const crashing = createRequest({body: new TextEncoder().encode('crash')});
const bystanders = [
	createRequest({body: new TextEncoder().encode('crash ')}),
	createRequest({body: new TextEncoder().encode('crash'), path: '/book/2'}),
];

test('a request that crashes servers at three nodes is refused at each, what ran beside it at none', () => {
	const nodes = createNodes(4);
	nodes[0]!.recordCrash([crashing, ...bystanders]);
	nodes[1]!.recordCrash([crashing, bystanders[0]!]);
	expect(nodes.map(node => node.findVerdict(crashing))).toEqual(nodes.map(() => suspect));
	for (const node of nodes) {
		node.recordAnswer(bystanders[0]!);
	}

	expect(nodes[2]!.recordCrash([crashing]).isProof).toEqual(true);
	expect(nodes.map(node => node.findVerdict(crashing))).toEqual(nodes.map(() => proven));
	for (const bystander of bystanders) {
		expect(nodes.map(node => node.findVerdict(bystander))).toEqual(
			nodes.map(() => sound),
		);
	}
});

test('the crashes of one caller do not get another refused, those of two get all', () => {
	const [node] = createNodes(1);
	const other = createRequest({...crashing, originService: 'search'});
	const third = createRequest({...crashing, originService: 'proofs'});
	node!.recordCrash([crashing]);
	node!.recordCrash([crashing]);
	node!.recordCrash([crashing]);
	expect([crashing, other].map(call => node!.findVerdict(call))).toEqual([
		proven,
		suspect,
	]);
	node!.recordCrash([other]);
	expect([other, third].map(call => node!.findVerdict(call))).toEqual([proven, proven]);
});

test('an ingress that knows a request for a suspect lets a gate that has not heard of it prove it', () => {
	const [ingress] = createNodes(1);
	const [gate] = createNodes(1);
	ingress!.recordReport(crashing, {crashId: 'one', isProof: false});
	ingress!.recordReport(crashing, {crashId: 'two', isProof: false});
	gate!.recordSuspicion(ingress!.listSuspectDigests(crashing));
	expect(gate!.findVerdict(crashing)).toEqual(suspect);
	const report = gate!.recordCrash([crashing]);
	ingress!.recordReport(crashing, report);
	expect([report.isProof, ingress!.findVerdict(crashing)]).toEqual([true, proven]);
});
