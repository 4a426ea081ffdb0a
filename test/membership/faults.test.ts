/**
 * Behaviour of membership under faults, simulated on a virtual clock with a fixed seed per case.
 */
import {test} from 'node:test';
import {expect} from 'earl';
import {memberStatuses} from '../../src/membership/member.js';
import {type MembershipParameters} from '../../src/membership/parameters.js';
import {listServiceMembers} from '../../src/membership/roster.js';
import {
	createMesh,
	startMembers,
	statusSeenBy,
	type Mesh,
	type MeshNode,
} from './simulated-mesh.js';

const second = 1000;
const {alive, dead, leaving, suspect} = memberStatuses;

type FaultCase = {
	readonly name: string;
	readonly members: number;
	readonly parameters?: Partial<MembershipParameters>;
	readonly loss?: number;
	readonly duplication?: number;
	readonly delayMilliseconds?: number;
	readonly run: (mesh: Mesh, nodes: MeshNode[]) => void;
};

function othersThan(nodes: readonly MeshNode[], node: MeshNode): MeshNode[] {
	return nodes.filter(other => other !== node && other.isRunning);
}

function allHold(nodes: readonly MeshNode[], node: MeshNode, status: string): boolean {
	return othersThan(nodes, node).every(
		other => statusSeenBy(other, node.nodeId) === status,
	);
}

function allAlive(nodes: readonly MeshNode[]): boolean {
	return nodes.every(node => allHold(nodes, node, alive));
}

function expectWithin(mesh: Mesh, condition: () => boolean, timeout: number): void {
	const elapsed = mesh.runUntil(condition, timeout);
	expect(elapsed === undefined).toEqual(false);
}

function sumOf(nodes: readonly MeshNode[], counter: 'deaths' | 'suspicions'): number {
	let sum = 0;
	for (const {state} of nodes) {
		sum += state.counters[counter];
	}

	return sum;
}

/** Counts the changes of a member from alive to suspect or dead, as seen by the nodes. */
function countLosses(
	nodes: readonly MeshNode[],
	includes: (nodeId: string) => boolean,
): number {
	let losses = 0;
	for (const {effects} of nodes) {
		for (const effect of effects) {
			const isLoss =
				effect.kind === 'memberChanged' &&
				effect.previous?.status === alive &&
				(effect.member.status === suspect || effect.member.status === dead);
			losses += isLoss && includes(effect.member.nodeId) ? 1 : 0;
		}
	}

	return losses;
}

/** Pauses a node while it suspects a living member, until all others hold the node dead. */
function pauseDuringSuspicion(mesh: Mesh, nodes: MeshNode[]): MeshNode {
	const [pausedNode, victim] = [nodes[0]!, nodes[1]!];
	mesh.isCut = (from, to) => from === victim || to === victim;
	expectWithin(
		mesh,
		() => statusSeenBy(pausedNode, victim.nodeId) === suspect,
		30 * second,
	);
	mesh.isCut = () => false;
	pausedNode.isPaused = true;
	mesh.run(60 * second);
	expect(allHold(nodes, pausedNode, dead)).toEqual(true);
	expect(statusSeenBy(nodes[2]!, victim.nodeId)).toEqual(alive);
	pausedNode.isPaused = false;
	return pausedNode;
}

const cases: readonly FaultCase[] = [
	{
		name: 'a leave reaches every member within two seconds and is reported as complete',
		members: 30,
		run(mesh, nodes) {
			const leavingNode = nodes[4]!;
			mesh.send(leavingNode, {kind: 'leave'});
			expectWithin(mesh, () => allHold(nodes, leavingNode, leaving), 2 * second);
			mesh.run(second);
			const isSpread = leavingNode.effects.some(({kind}) => kind === 'leaveSpread');
			expect(isSpread).toEqual(true);
			expect(listServiceMembers(nodes[0]!.state.roster, 'booking').length).toEqual(30);
		},
	},
	{
		name: 'a leaving member that sends a farewell is marked dead at once, without a suspicion',
		members: 10,
		run(mesh, nodes) {
			const leavingNode = nodes[4]!;
			mesh.send(leavingNode, {kind: 'leave'});
			mesh.run(2 * second);
			mesh.send(leavingNode, {kind: 'farewell'});
			leavingNode.isRunning = false;
			expectWithin(mesh, () => allHold(nodes, leavingNode, dead), 3 * second);
			expect(sumOf(nodes, 'suspicions')).toEqual(0);
		},
	},
	{
		name: 'every member detects a crash, and no other member is marked dead',
		members: 30,
		run(mesh, nodes) {
			const victim = nodes[4]!;
			victim.isRunning = false;
			expectWithin(mesh, () => allHold(nodes, victim, dead), 20 * second);
			const rest = othersThan(nodes, victim);
			expect(allAlive(rest)).toEqual(true);
			expect(listServiceMembers(rest[0]!.state.roster, 'booking').length).toEqual(29);
		},
	},
	{
		name: 'a briefly disconnected member refutes its suspicion and is never marked dead',
		members: 20,
		run(mesh, nodes) {
			const victim = nodes[4]!;
			mesh.isCut = (_from, to) => to === victim;
			expectWithin(
				mesh,
				() => statusSeenBy(nodes[0]!, 'node-4') === suspect,
				20 * second,
			);
			mesh.isCut = () => false;
			expectWithin(mesh, () => allHold(nodes, victim, alive), 10 * second);
			expect(victim.state.self.member.revision).toBeGreaterThan(0);
			expect(sumOf(nodes, 'deaths')).toEqual(0);
		},
	},
	{
		name: 'a one-way broken path between two members makes neither suspect',
		members: 10,
		run(mesh, nodes) {
			const [first, other] = [nodes[1]!, nodes[2]!];
			mesh.isCut = (from, to) => from === first && to === other;
			mesh.run(120 * second);
			expect(sumOf(nodes, 'suspicions')).toEqual(0);
			expect(allAlive(nodes)).toEqual(true);
		},
	},
	{
		name: 'without indirect probes a one-way broken path raises suspicions',
		members: 10,
		parameters: {indirectProbes: 0},
		run(mesh, nodes) {
			const [first, other] = [nodes[1]!, nodes[2]!];
			mesh.isCut = (from, to) => from === first && to === other;
			mesh.run(120 * second);
			expect(sumOf(nodes, 'suspicions')).toBeGreaterThan(0);
		},
	},
	{
		name: 'a node restarted without state overrides stale records by its higher incarnation',
		members: 20,
		run(mesh, nodes) {
			const earlier = nodes[4]!;
			earlier.isRunning = false;
			expectWithin(mesh, () => allHold(nodes, earlier, dead), 20 * second);
			const {host, nodeId} = earlier.state.self.member;
			const later = mesh.start({nodeId, host, incarnation: 2}, [nodes[0]!]);
			expectWithin(mesh, () => allHold(mesh.nodes, later, alive), 20 * second);
			expect(nodes[9]!.state.roster.records.get(nodeId)?.member.incarnation).toEqual(2);
			expectWithin(mesh, () => later.state.roster.peers.length === 19, 20 * second);
		},
	},
	{
		name: 'a node whose clock went back raises its incarnation above the earlier one before it settles',
		members: 10,
		run(mesh, nodes) {
			const earlier = nodes[4]!;
			earlier.isRunning = false;
			const {host, nodeId} = earlier.state.self.member;
			const later = mesh.start({nodeId, host, incarnation: 0}, [nodes[0]!]);
			const isSettled = () => later.effects.some(({kind}) => kind === 'settled');
			expectWithin(mesh, isSettled, 5 * second);
			expect(later.state.self.member.incarnation).toEqual(2);
			expectWithin(mesh, () => allHold(mesh.nodes, later, alive), 20 * second);
		},
	},
	{
		name: 'the crash of a whole failure domain stays within the byte budget and affects no other member',
		members: 60,
		parameters: {bytesPerSecond: 800, burstBytes: 4000},
		run(mesh, nodes) {
			const victims = nodes.filter((_node, index) => index % 5 === 0);
			const rest = nodes.filter(node => !victims.includes(node));
			for (const node of victims) {
				node.isRunning = false;
			}

			const spent = new Map(rest.map(node => [node, node.state.budget.spentBytes]));
			const isDetected = () => victims.every(node => allHold(nodes, node, dead));
			for (let elapsed = 0; elapsed < 120 && !isDetected(); elapsed += 1) {
				mesh.run(second);
				for (const node of rest) {
					const {spentBytes} = node.state.budget;
					const bound = 4000 + 800 * (elapsed + 1);
					expect(spentBytes - spent.get(node)!).toBeLessThanOrEqual(bound);
				}
			}

			expect(isDetected()).toEqual(true);
			expect(allAlive(rest)).toEqual(true);
		},
	},
	{
		name: 'a node resumed after a pause declares no member dead and refutes its own death',
		members: 20,
		run(mesh, nodes) {
			const pausedNode = pauseDuringSuspicion(mesh, nodes);
			expectWithin(mesh, () => allHold(nodes, pausedNode, alive), 10 * second);
			mesh.run(30 * second);
			expect(pausedNode.state.counters.deaths).toEqual(0);
			expect(allAlive(nodes)).toEqual(true);
		},
	},
	{
		name: 'a node that does not detect its pause declares a living member dead',
		members: 20,
		parameters: {pauseThresholdMilliseconds: Number.POSITIVE_INFINITY},
		run(mesh, nodes) {
			const pausedNode = pauseDuringSuspicion(mesh, nodes);
			mesh.run(2 * second);
			expect(pausedNode.state.counters.deaths).toBeGreaterThan(0);
		},
	},
	{
		name: 'members converge despite duplicated, reordered and lost datagrams',
		members: 20,
		loss: 0.1,
		duplication: 0.3,
		delayMilliseconds: 250,
		run(mesh, nodes) {
			for (const [index, node] of nodes.entries()) {
				mesh.send(node, {kind: 'updateSelf', patch: {slots: index}});
				mesh.send(node, {kind: 'updateSelf', patch: {slots: 100 + index}});
			}

			const hasLast = (viewer: MeshNode, index: number) =>
				viewer.state.roster.records.get(`node-${index}`)?.member.slots === 100 + index;
			const hasConverged = () =>
				nodes.every(viewer => nodes.every((_node, index) => hasLast(viewer, index)));
			expectWithin(mesh, hasConverged, 60 * second);
			expect(sumOf(nodes, 'deaths')).toEqual(0);
		},
	},
	{
		name: 'two partitions rejoin, and no node suspects a member of its own side meanwhile',
		members: 24,
		parameters: {
			reconnectIntervalMilliseconds: 5000,
			seedContactIntervalMilliseconds: 5000,
		},
		run(mesh, nodes) {
			const isLeft = (node: MeshNode) => nodes.indexOf(node) < 12;
			mesh.isCut = (from, to) => isLeft(from) !== isLeft(to);
			const [left, right] = [nodes.slice(0, 12), nodes.slice(12)];
			const isPartitioned = () =>
				left.every(node => node.state.roster.peers.length === 11) &&
				right.every(node => node.state.roster.peers.length === 11);
			expectWithin(mesh, isPartitioned, 120 * second);
			for (const node of nodes) {
				node.effects.length = 0;
			}

			mesh.isCut = () => false;
			expectWithin(mesh, () => allAlive(nodes), 120 * second);
			const namesOf = (side: MeshNode[]) => new Set(side.map(({nodeId}) => nodeId));
			const [leftNames, rightNames] = [namesOf(left), namesOf(right)];
			expect(countLosses(left, nodeId => leftNames.has(nodeId))).toEqual(0);
			expect(countLosses(right, nodeId => rightNames.has(nodeId))).toEqual(0);
		},
	},
];

for (const [index, row] of cases.entries()) {
	test(row.name, () => {
		const mesh = createMesh({seed: 100 + index, keepsEffects: true, ...row});
		row.run(mesh, startMembers(mesh, row.members));
	});
}
