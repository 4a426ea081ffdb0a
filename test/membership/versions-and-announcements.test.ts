/** Topic versions and announcements: rising, delivered once, bounded, and synced to late joiners. */
import {test} from 'node:test';
import {expect} from 'earl';
import {defaultParameters} from '../../src/membership/parameters.js';
import {applyEvent} from '../../src/membership/state-machine.js';
import {createState, type MembershipEffect} from '../../src/membership/state.js';
import {type Rumour} from '../../src/membership/message.js';
import {
	createMesh,
	describeMember,
	startMembers,
	type MeshNode,
} from './simulated-mesh.js';

const second = 1000;

function receive(rumours: readonly Rumour[], parameters = defaultParameters) {
	const state = createState(describeMember({nodeId: 'node-0'}), parameters, 0);
	const effects: MembershipEffect[] = [];
	for (const [index, rumour] of rumours.entries()) {
		const packet = {from: 'node-1', body: {kind: 'gossip'}, rumours: [rumour]} as const;
		const from = {host: '10.0.0.2', port: 7000};
		effects.push(...applyEvent(state, {kind: 'packet', packet, from}, index, () => 0.5));
	}

	return {state, effects};
}

test('a version never decreases, whatever the order in which versions arrive', () => {
	const versions = [3, 5, 4, 5, 1, 9, 8].map(
		version => ({kind: 'version', topic: 'team', version}) as const,
	);
	const {state, effects} = receive(versions);
	const raised = effects.flatMap(effect =>
		effect.kind === 'versionRaised' ? [effect.version] : [],
	);
	expect(raised).toEqual([3, 5, 9]);
	expect(state.topics.get('team')).toEqual(9);
});

test('an announcement is delivered once, and no more are stored than the limit', () => {
	const announce = (id: string): Rumour => ({
		kind: 'announcement',
		id,
		payload: new Uint8Array([1]),
		remainingMilliseconds: 60_000,
	});
	const rumours = ['a', 'a', 'b', 'c', 'a'].map(announce);
	const {state, effects} = receive(rumours, {
		...defaultParameters,
		maximumAnnouncements: 2,
	});
	const announced = effects.flatMap(effect =>
		effect.kind === 'announced' ? [effect.id] : [],
	);
	expect(announced).toEqual(['a', 'b']);
	expect(state.announcements.size).toEqual(2);
});

test('an announcement expires on every node, and a version reaches a node that joins late', () => {
	const mesh = createMesh({seed: 31, keepsEffects: true});
	const nodes = startMembers(mesh, 12);
	const payload = new Uint8Array([1, 2, 3]);
	mesh.send(nodes[0]!, {kind: 'publishVersion', topic: 'team', version: 4});
	mesh.send(nodes[0]!, {kind: 'announce', id: 'x', payload, lifetimeMilliseconds: 8000});
	const holds = (node: MeshNode) => node.state.announcements.has('x');
	expect(
		mesh.runUntil(() => nodes.every(node => holds(node)), 3 * second) ?? -1,
	).toBeGreaterThan(0);
	mesh.run(12 * second);
	expect(nodes.some(node => holds(node))).toEqual(false);
	const late = mesh.start({nodeId: 'late'}, [nodes[3]!]);
	const knows = () => late.state.topics.get('team') === 4;
	expect(mesh.runUntil(knows, 10 * second) === undefined).toEqual(false);
});
