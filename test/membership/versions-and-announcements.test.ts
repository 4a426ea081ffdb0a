/** Topic versions and announcements: rising, delivered once, bounded, and synced to late joiners. */
import {test} from 'node:test';
import {expect} from 'earl';
import {defaultParameters} from '../../src/membership/parameters.js';
import {applyEvent} from '../../src/membership/state-machine.js';
import {createState, type MembershipEffect} from '../../src/membership/state.js';
import {type Rumour} from '../../src/membership/message.js';
import {relayMembershipParameters} from '../../src/relay/membership-parameters.js';
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

test('a member that missed a change learns of it with the next probes, however many topics there are', () => {
	const delays = [1, 2, 3, 4, 5].map(seed => {
		const mesh = createMesh({seed, parameters: relayMembershipParameters});
		const nodes = startMembers(mesh, 40);
		const publish = (topic: string, version: number) => {
			mesh.send(nodes[0]!, {kind: 'publishVersion', topic, version});
		};

		for (let domain = 0; domain < 6; domain += 1) {
			publish(`evacuation:${domain}`, 1);
		}

		mesh.run(20 * second);
		// The rumour is no longer passed on when the member can be reached again.
		mesh.isCut = (_from, to) => to === nodes[7];
		publish('routes', 2);
		mesh.run(0.8 * second);
		mesh.isCut = () => false;
		return mesh.runUntil(() => nodes[7]!.state.topics.get('routes') === 2, 20 * second);
	});
	expect(delays.filter(delay => delay === undefined || delay > 2 * second)).toEqual([]);
});

test('what cannot be sent is not kept, and does not keep a member from sending the rest', () => {
	const mesh = createMesh({seed: 13});
	const [node, other] = startMembers(mesh, 4);
	const long = 'x'.repeat(300);
	const proof = {version: 1, era: 1, provenAt: 1};
	const payload = new Uint8Array(0);
	mesh.send(node!, {kind: 'publishVersion', topic: long, version: 1});
	mesh.send(node!, {kind: 'publishProof', topic: long, proof});
	mesh.send(node!, {kind: 'announce', id: long, payload, lifetimeMilliseconds: 9000});
	mesh.send(node!, {kind: 'updateSelf', patch: {service: 'odd', slots: 2 ** 40}});
	mesh.send(node!, {kind: 'publishVersion', topic: 'routes', version: 7});
	mesh.run(3 * second);
	expect([...other!.state.topics]).toEqual([['routes', 7]]);
	expect(other!.state.announcements.size).toEqual(0);
	expect(other!.state.roster.records.get(node!.nodeId)?.member.service).toEqual('odd');
});

test('of proofs only the one with the newest era and time is kept, with the version that it names', () => {
	const proofs = [
		{version: 5, era: 1, provenAt: 900},
		{version: 6, era: 1, provenAt: 800},
		{version: 4, era: 2, provenAt: 100},
		{version: 9, era: 1, provenAt: 2000},
		{version: 4, era: 2, provenAt: 101},
	];
	const {state, effects} = receive(
		proofs.map(proof => ({kind: 'proof', topic: 'team', ...proof}) as const),
	);
	expect(
		effects.flatMap(effect => (effect.kind === 'proofRenewed' ? [effect.proof] : [])),
	).toEqual([proofs[0]!, proofs[2]!, proofs[4]!]);
	expect(state.proofs.get('team')).toEqual(proofs[4]);
	expect(state.topics.size).toEqual(0);
});

test('with a proof each second all members have one that outlasts the loss of touch, although datagrams are lost', () => {
	const parameters = relayMembershipParameters;
	const mesh = createMesh({seed: 77, loss: 0.05, parameters});
	const nodes = startMembers(mesh, 60);
	mesh.run(5 * second);
	let oldest = 0;
	for (let round = 0; round < 20; round += 1) {
		const proof = {version: 1, era: 1, provenAt: Math.floor(mesh.now)};
		mesh.send(nodes[round % 3]!, {kind: 'publishProof', topic: 'team', proof});
		for (let tenth = 0; tenth < 10; tenth += 1) {
			mesh.run(second / 10);
			if (round > 1) {
				const ages = nodes.map(
					({state}) => mesh.now - (state.proofs.get('team')?.provenAt ?? 0),
				);
				oldest = Math.max(oldest, ...ages);
			}
		}
	}

	// Of a limit of 5 s, proofs count for 0.95 and a node that lost touch needs 0.6.
	expect(oldest).toBeLessThan((0.95 - 0.6) * 5 * second);
});
