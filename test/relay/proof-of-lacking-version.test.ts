/** A node that lacks the newest routes must not rely on the proofs of others that have them. */
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {ok} from 'neverthrow';
import type {TopicProof} from '../../src/membership/index.js';
import {createProofKeeper, type ProofMembership} from '../../src/relay/proof-keeper.js';
import {routesTopic} from '../../src/relay/peer-routes.js';
import type {RoutesReading} from '../../src/relay/routes-follower.js';
import {describeMember} from '../membership/simulated-mesh.js';
import {createTeamRoutesHolder, silentLog} from '../support/routes-holder.js';

const limitMilliseconds = 1000;
const era = 1;
/** Proofs arrive this often from the nodes that have the newest version. */
const proofIntervalMilliseconds = 50;

function createReading(version: number): RoutesReading {
	return {
		text: String(version),
		position: {era, version},
		evacuations: [],
		isComplete: false,
		storeTime: performance.now(),
	};
}

function startKeeper(context: TestContext) {
	const table = {version: 1, questions: 0};
	const holder = createTeamRoutesHolder();
	holder.activate('1', 'table');
	let deliver: (topic: string, proof: TopicProof) => void = () => undefined;
	const membership: ProofMembership = {
		publishProof: () => undefined,
		onProof(listener) {
			deliver = listener;
		},
		proofOf: () => undefined,
		onVersion: () => undefined,
		versionOf: () => 1,
		all: () => [],
		self: () => describeMember({nodeId: 'self'}),
	};
	const keeper = createProofKeeper({
		configurationMilliseconds: limitMilliseconds,
		revocationMilliseconds: limitMilliseconds,
		source: {
			async check() {
				table.questions += 1;
				return ok(createReading(table.version));
			},
		},
		holder,
		log: silentLog,
		isPoller: () => false,
		askPeer: async () => undefined,
		onReading: () => undefined,
		steadyTime: () => performance.now(),
		random: () => 0.5,
	});
	keeper.attach(membership);
	const proofs = setInterval(() => {
		const provenAt = Math.floor(performance.now() - 1);
		deliver(routesTopic, {era, provenAt, version: table.version});
	}, proofIntervalMilliseconds);
	context.after(() => {
		clearInterval(proofs);
		keeper.close();
	});
	return {
		table,
		holder,
		keeper,
		deliver(topic: string, proof: TopicProof) {
			deliver(topic, proof);
		},
	};
}

test('a node that lacks a version asks the table for it although others prove to have it', async context => {
	const {table, holder} = startKeeper(context);
	await sleep(limitMilliseconds);
	const before = table.questions;
	expect(holder.current()?.table.version).toEqual(1);
	table.version = 2;
	await sleep(limitMilliseconds);
	expect(holder.current()?.table.version).toEqual(2);
	// Before, the proofs of others made questions needless.
	expect(before).toEqual(1);
});

test('a version that a restored table lost is not asked for without pause', async context => {
	const {table, keeper, deliver} = startKeeper(context);
	await sleep(limitMilliseconds / 10);
	deliver(routesTopic, {era, provenAt: Math.floor(performance.now() - 1), version: 7});
	const before = table.questions;
	await sleep(limitMilliseconds);
	// Each 0.32 to 0.44 of the limit.
	expect(table.questions - before).toBeLessThanOrEqual(4);
	expect(keeper.isRecent()).toEqual(false);
});
