/**
 * The fault cases of membership, run on the state machines over a virtual clock with a fixed
 * seed for each.
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

function expectWithin(mesh: Mesh, condition: () => boolean, bound: number): void {
	const elapsed = mesh.runUntil(condition, bound);
	expect(elapsed === undefined).toEqual(false);
}

function sumOf(nodes: readonly MeshNode[], counter: 'deaths' | 'suspicions'): number {
	let sum = 0;
	for (const {state} of nodes) {
		sum += state.counters[counter];
	}

	return sum;
}

/** Records the changes from alive to something worse that nodes see of others. */
function countLosses(
	nodes: readonly MeshNode[],
	isCounted: (nodeId: string) => boolean,
): number {
	let losses = 0;
	for (const {effects} of nodes) {
		for (const effect of effects) {
			const isLoss =
				effect.kind === 'memberChanged' &&
				effect.previous?.status === alive &&
				(effect.member.status === suspect || effect.member.status === dead);
			losses += isLoss && isCounted(effect.member.nodeId) ? 1 : 0;
		}
	}

	return losses;
}

function freezeWithOpenSuspicion(mesh: Mesh, nodes: MeshNode[]): MeshNode {
	const [sleeper, victim] = [nodes[0]!, nodes[1]!];
	mesh.isCut = (from, to) => from === victim || to === victim;
	expectWithin(mesh, () => statusSeenBy(sleeper, victim.nodeId) === suspect, 30 * second);
	mesh.isCut = () => false;
	sleeper.isPaused = true;
	mesh.run(60 * second);
	expect(allHold(nodes, sleeper, dead)).toEqual(true);
	expect(statusSeenBy(nodes[2]!, victim.nodeId)).toEqual(alive);
	sleeper.isPaused = false;
	return sleeper;
}

const cases: readonly FaultCase[] = [
	{
		name: 'a leave reaches every member within two seconds and is reported as spread',
		members: 30,
		run(mesh, nodes) {
			const leaver = nodes[4]!;
			mesh.send(leaver, {kind: 'leave'});
			expectWithin(mesh, () => allHold(nodes, leaver, leaving), 2 * second);
			mesh.run(second);
			const isSpread = leaver.effects.some(({kind}) => kind === 'leaveSpread');
			expect(isSpread).toEqual(true);
			expect(listServiceMembers(nodes[0]!.state.roster, 'booking').length).toEqual(30);
		},
	},
	{
		name: 'a leaver that says farewell is dead at once and suspected by nobody',
		members: 10,
		run(mesh, nodes) {
			const leaver = nodes[4]!;
			mesh.send(leaver, {kind: 'leave'});
			mesh.run(2 * second);
			mesh.send(leaver, {kind: 'farewell'});
			leaver.isRunning = false;
			expectWithin(mesh, () => allHold(nodes, leaver, dead), 3 * second);
			expect(sumOf(nodes, 'suspicions')).toEqual(0);
		},
	},
	{
		name: 'a crash is found by all, and nobody else is held dead',
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
		name: 'a member that is cut off for a moment refutes its suspicion and is never held dead',
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
		name: 'a path cut one way between two members condemns neither',
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
		name: 'without indirect probes the same cut raises suspicions',
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
		name: 'a node restarted with an empty memory wins over stale news by its new incarnation',
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
		name: 'a node whose clock went back outbids its earlier life before it starts its work',
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
		name: 'the death of a failure domain stays inside the byte budget and spares the rest',
		members: 60,
		parameters: {bytesPerSecond: 800, burstBytes: 4000},
		run(mesh, nodes) {
			const fallen = nodes.filter((_node, index) => index % 5 === 0);
			const rest = nodes.filter(node => !fallen.includes(node));
			for (const node of fallen) {
				node.isRunning = false;
			}

			const spent = new Map(rest.map(node => [node, node.state.budget.spentBytes]));
			const isFound = () => fallen.every(node => allHold(nodes, node, dead));
			for (let elapsed = 0; elapsed < 120 && !isFound(); elapsed += 1) {
				mesh.run(second);
				for (const node of rest) {
					const {spentBytes} = node.state.budget;
					const bound = 4000 + 800 * (elapsed + 1);
					expect(spentBytes - spent.get(node)!).toBeLessThanOrEqual(bound);
				}
			}

			expect(isFound()).toEqual(true);
			expect(allAlive(rest)).toEqual(true);
		},
	},
	{
		name: 'a frozen node that wakes declares nobody dead, and refutes its own death',
		members: 20,
		run(mesh, nodes) {
			const sleeper = freezeWithOpenSuspicion(mesh, nodes);
			expectWithin(mesh, () => allHold(nodes, sleeper, alive), 10 * second);
			mesh.run(30 * second);
			expect(sleeper.state.counters.deaths).toEqual(0);
			expect(allAlive(nodes)).toEqual(true);
		},
	},
	{
		name: 'a node that does not notice its pause declares a living member dead',
		members: 20,
		parameters: {pauseThresholdMilliseconds: Number.POSITIVE_INFINITY},
		run(mesh, nodes) {
			const sleeper = freezeWithOpenSuspicion(mesh, nodes);
			mesh.run(2 * second);
			expect(sleeper.state.counters.deaths).toBeGreaterThan(0);
		},
	},
	{
		name: 'duplicated, reordered and lost datagrams leave every member with the same view',
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
			const isSame = () =>
				nodes.every(viewer => nodes.every((_node, index) => hasLast(viewer, index)));
			expectWithin(mesh, isSame, 60 * second);
			expect(sumOf(nodes, 'deaths')).toEqual(0);
		},
	},
	{
		name: 'two halves that were cut find each other again, and nobody loses its own half',
		members: 24,
		parameters: {reconnectIntervalMilliseconds: 5000},
		run(mesh, nodes) {
			const isLeft = (node: MeshNode) => nodes.indexOf(node) < 12;
			mesh.isCut = (from, to) => isLeft(from) !== isLeft(to);
			const [left, right] = [nodes.slice(0, 12), nodes.slice(12)];
			const isApart = () =>
				left.every(node => node.state.roster.peers.length === 11) &&
				right.every(node => node.state.roster.peers.length === 11);
			expectWithin(mesh, isApart, 120 * second);
			for (const node of nodes) {
				node.effects.length = 0;
			}

			mesh.isCut = () => false;
			expectWithin(mesh, () => allAlive(nodes), 120 * second);
			const namesOf = (half: MeshNode[]) => new Set(half.map(({nodeId}) => nodeId));
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
