/** Following the configuration: versions never decrease, new nodes wait, and all nodes converge. */
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {xoroshiro128plus, unsafeUniformIntDistribution} from 'pure-rand';
import {
	getAppliedVersion,
	applyDocument,
	createAppliedDocuments,
} from '../../src/configuration/applied-documents.js';
import {createDocumentText} from '../support/configuration.js';
import {
	accept,
	createFleet,
	findReverted,
	restart,
	step,
	team,
	type Fleet,
} from './fleet-model.js';

const fleetSize = 5;
const stepsToConverge = 400;
const resolution = 1_000_000;

function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
}

function listVersions(fleet: Fleet): number[] {
	return fleet.nodes.map(node => getAppliedVersion(node.state.applied, team));
}

const node = fc.integer({min: 0, max: fleetSize - 1});
const actions = fc.array(
	fc.oneof(
		{
			arbitrary: fc.record({kind: fc.constant('step' as const), times: fc.nat(40)}),
			weight: 4,
		},
		fc.record({kind: fc.constant('accept' as const), node, crashes: fc.boolean()}),
		fc.record({kind: fc.constant('restart' as const), node}),
		fc.record({
			kind: fc.constant('disconnect' as const),
			node,
			isDisconnected: fc.boolean(),
		}),
		fc.record({kind: fc.constant('store' as const), isUp: fc.boolean()}),
	),
	{maxLength: 40},
);

type Action = typeof actions extends fc.Arbitrary<Array<infer Item>> ? Item : never;

function run(fleet: Fleet, steps: number): void {
	for (let count = 0; count < steps; count += 1) {
		step(fleet);
	}
}

function runAction(fleet: Fleet, action: Action): void {
	switch (action.kind) {
		case 'step': {
			run(fleet, action.times);
			return;
		}

		case 'accept': {
			accept(fleet, action.node, action.crashes);
			return;
		}

		case 'restart': {
			restart(fleet, action.node);
			return;
		}

		case 'disconnect': {
			fleet.nodes[action.node]!.isDisconnected = action.isDisconnected;
			return;
		}

		case 'store': {
			fleet.isStoreUp = action.isUp;
		}
	}
}

/** Finds a ready node with an older version than the table had when the node started. */
function findStaleNode(fleet: Fleet): number {
	return fleet.nodes.findIndex(
		({state, versionAtStart}) =>
			state.isReady &&
			state.hasStoreAnswered &&
			getAppliedVersion(state.applied, team) < versionAtStart,
	);
}

test('despite disconnections, outages, restarts and crashes versions never decrease and all nodes converge', () => {
	fc.assert(
		fc.property(actions, fc.integer({min: 1, max: 1_000_000}), (list, seed) => {
			const fleet = createFleet(fleetSize, createRandom(seed));
			accept(fleet, 0, false);
			for (const action of list) {
				runAction(fleet, action);
				expect(findReverted(fleet)).toEqual(-1);
				expect(findStaleNode(fleet)).toEqual(-1);
			}

			fleet.isStoreUp = true;
			for (const reconnected of fleet.nodes) {
				reconnected.isDisconnected = false;
			}

			run(fleet, stepsToConverge);

			const {storeVersion} = fleet;
			expect(listVersions(fleet)).toEqual(fleet.nodes.map(() => storeVersion));
			expect(fleet.nodes.every(({state}) => state.isReady)).toEqual(true);
		}),
		{seed: 5, numRuns: 100},
	);
});

test('when documents arrive out of order the highest version stays applied', () => {
	const versions = fc.array(fc.integer({min: 1, max: 9}), {minLength: 1});
	fc.assert(
		fc.property(versions, order => {
			const applied = createAppliedDocuments();
			for (const version of order) {
				const text = createDocumentText(team, version);
				const rowVersion = String(version);
				applyDocument(
					applied,
					{team, version, changeId: rowVersion, text, rowVersion},
					0,
				);
			}

			const appliedDocument = applied.byTeam.get(team);
			const highest = Math.max(...order);
			const deadline = appliedDocument?.document.presets.ordinary?.services.booking;
			expect(appliedDocument?.version).toEqual(highest);
			expect(deadline?.deadlineMilliseconds).toEqual(highest);
		}),
		{seed: 6, numRuns: 50},
	);
});

test('with the table down a restarted node applies the highest version of several nodes', () => {
	for (let seed = 1; seed <= 20; seed += 1) {
		const fleet = createFleet(fleetSize, createRandom(seed));
		accept(fleet, 0, false);
		run(fleet, stepsToConverge);
		fleet.nodes[4]!.isDisconnected = true;
		accept(fleet, 0, false);
		run(fleet, stepsToConverge);
		expect(listVersions(fleet)).toEqual([2, 2, 2, 2, 1]);

		fleet.isStoreUp = false;
		fleet.nodes[4]!.isDisconnected = false;
		restart(fleet, 2);
		for (let count = 0; count < 100 && !fleet.nodes[2]!.state.isReady; count += 1) {
			step(fleet);
		}

		expect(fleet.nodes[2]!.state.isReady).toEqual(true);
		expect(getAppliedVersion(fleet.nodes[2]!.state.applied, team)).toEqual(2);
	}
});

test('nodes without a table and without a configuration never become ready', () => {
	const fleet = createFleet(fleetSize, createRandom(4));
	fleet.isStoreUp = false;
	run(fleet, 100);
	expect(fleet.nodes.some(({state}) => state.isReady)).toEqual(false);
});
