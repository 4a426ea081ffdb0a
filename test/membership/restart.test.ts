/** Restart of the whole fleet: with seeds from the settings, from seed rows, and without the table. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createMesh, startMembers, type Mesh, type MeshNode} from './simulated-mesh.js';

const second = 1000;
const members = 24;

/** Stops every node and starts each again at its address without state. */
function restartAll(mesh: Mesh, seedsOf: (nodes: MeshNode[]) => MeshNode[]): MeshNode[] {
	const earlier = [...mesh.nodes];
	for (const node of earlier) {
		node.isRunning = false;
	}

	mesh.run(second);
	return earlier.map(node => {
		const {nodeId, host} = node.state.self.member;
		return mesh.start({nodeId, host, incarnation: 2}, seedsOf(earlier));
	});
}

function knowsAll(nodes: readonly MeshNode[]): boolean {
	return nodes.every(({state}) => state.roster.peers.length === members - 1);
}

test('a fleet that restarts while the table is down joins through the seeds in its settings', () => {
	const mesh = createMesh({seed: 21});
	startMembers(mesh, members);
	const nodes = restartAll(mesh, earlier => earlier.slice(0, 3));
	const elapsed = mesh.runUntil(() => knowsAll(nodes), 60 * second);
	expect(elapsed === undefined).toEqual(false);
	const incarnations = new Set(
		[...nodes[5]!.state.roster.records.values()].map(({member}) => member.incarnation),
	);
	expect([...incarnations]).toEqual([2]);
});

test('a fleet without seeds stays unjoined while the table is down and joins once it is up', () => {
	const mesh = createMesh({seed: 22});
	startMembers(mesh, members);
	const nodes = restartAll(mesh, () => []);
	mesh.run(20 * second);
	expect(nodes.every(({state}) => state.roster.peers.length === 0)).toEqual(true);
	// The table holds the rows of a few nodes; the nodes read them at different times.
	for (const node of nodes) {
		const seeds = nodes.slice(2, 5).map(({address}) => address);
		mesh.run(100);
		mesh.send(node, {kind: 'seeds', seeds});
	}

	const elapsed = mesh.runUntil(() => knowsAll(nodes), 60 * second);
	expect(elapsed === undefined).toEqual(false);
});

test('nodes that start together and first join in separate groups soon know each other', () => {
	const mesh = createMesh({seed: 23});
	for (let index = 0; index < 4; index += 1) {
		mesh.start({nodeId: `node-${index}`});
	}

	for (const {state} of mesh.nodes) {
		state.seeds = mesh.nodes.slice(0, 3).map(({address}) => address);
	}

	const isOuter = (node: MeshNode) => ['node-0', 'node-3'].includes(node.nodeId);
	mesh.isCut = (from, to) => isOuter(from) !== isOuter(to);
	mesh.run(600);
	expect(mesh.nodes.map(({state}) => state.roster.peers.length)).toEqual([1, 1, 1, 1]);
	mesh.isCut = () => false;
	const isJoined = () => mesh.nodes.every(({state}) => state.roster.peers.length === 3);
	expect(mesh.runUntil(isJoined, 5 * second) === undefined).toEqual(false);
});
