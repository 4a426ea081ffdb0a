/**
 * Membership of real processes: join, kill, freeze and planned stop. The test itself joins as a
 * member without a server, and observes the status of each node.
 */
import {performance} from 'node:perf_hooks';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Effect, Exit, Scope} from 'effect';
import {expect} from 'earl';
import {
	createMembership,
	memberStatuses,
	type Membership,
	type MemberStatus,
} from '../../src/membership/index.js';
import {startMesh, type MeshNode} from '../support/mesh.js';
import {findFreePorts, type Cleaner} from '../support/processes.js';

const {alive, dead, leaving} = memberStatuses;
const detectionBoundMilliseconds = 20_000;
const leaveBoundMilliseconds = 2000;

async function joinAsObserver(cleaner: Cleaner, nodes: MeshNode[]): Promise<Membership> {
	const [peerPort, controlPort] = await findFreePorts(2);
	const scope = await Effect.runPromise(Scope.make());
	cleaner.after(async () => Effect.runPromise(Scope.close(scope, Exit.void)));
	const joined = createMembership({
		self: {
			nodeId: 'observer',
			incarnation: 1,
			host: '127.0.0.1',
			peerPort: peerPort!,
			controlPort: controlPort!,
			region: 'coast',
			failureDomain: 'coast-a',
			slots: 0,
		},
		seeds: nodes.map(({controlPort: port}) => `127.0.0.1:${port}`),
		now: () => performance.now(),
		random: Math.random,
	});
	const membership = await Effect.runPromise(joined.pipe(Scope.extend(scope)));
	const allAlive = () =>
		nodes.every(({nodeId}) => membership.find(nodeId)?.status === alive);
	await waitUntil(allAlive, detectionBoundMilliseconds);
	return membership;
}

/** Polls a condition until it holds; throws after `bound` milliseconds. */
async function waitUntil(condition: () => boolean, bound: number): Promise<void> {
	const deadline = performance.now() + bound;
	while (!condition()) {
		if (performance.now() > deadline) {
			throw new Error(
				`condition does not hold after ${bound} ms: ${condition.toString()}`,
			);
		}

		await sleep(20);
	}
}

async function waitForStatus(
	observer: Membership,
	nodeId: string,
	status: MemberStatus,
): Promise<void> {
	const holds = () => observer.find(nodeId)?.status === status;
	await waitUntil(holds, detectionBoundMilliseconds);
}

const fourServices = ['availability', 'booking', 'proofs', 'ledger'].map(service => ({
	service,
}));

test('nodes that join are discovered with their servers', async context => {
	const nodes = await startMesh(context, fourServices);
	const observer = await joinAsObserver(context, nodes);
	await waitUntil(
		() => fourServices.every(({service}) => observer.membersOf(service).length === 1),
		detectionBoundMilliseconds,
	);
	expect(observer.all().length).toEqual(5);
});

test('a killed node is declared dead, and no other node is suspected', async context => {
	const nodes = await startMesh(context, fourServices);
	const observer = await joinAsObserver(context, nodes);
	nodes[1]!.process.signal('SIGKILL');
	await waitForStatus(observer, 'node-1', dead);
	expect(observer.membersOf('booking')).toEqual([]);
	for (const nodeId of ['node-0', 'node-2', 'node-3']) {
		expect(observer.find(nodeId)?.status).toEqual(alive);
	}
});

test('a frozen node is declared dead, and once resumed is alive and has caused no other suspicion', async context => {
	const nodes = await startMesh(context, fourServices);
	const observer = await joinAsObserver(context, nodes);
	const suspected: string[] = [];
	observer.onMemberChange((member, previous) => {
		if (previous?.status === alive && member.status !== alive) {
			suspected.push(member.nodeId);
		}
	});
	nodes[2]!.process.signal('SIGSTOP');
	await waitForStatus(observer, 'node-2', dead);
	nodes[2]!.process.signal('SIGCONT');
	await waitForStatus(observer, 'node-2', alive);
	await sleep(3000);
	expect(suspected).toEqual(['node-2']);
	expect(observer.membersOf('proofs').length).toEqual(1);
});

test('a planned stop is observed as leaving within two seconds, and then as dead', async context => {
	const nodes = await startMesh(context, fourServices);
	const observer = await joinAsObserver(context, nodes);
	const statuses: string[] = [];
	observer.onMemberChange(member => {
		if (member.nodeId === 'node-3') {
			statuses.push(member.status);
		}
	});
	nodes[3]!.process.signal('SIGTERM');
	await waitUntil(() => statuses.includes(leaving), leaveBoundMilliseconds);
	expect(await nodes[3]!.process.ended).toEqual(0);
	await waitForStatus(observer, 'node-3', dead);
	expect(statuses).toEqual([leaving, dead]);
});
