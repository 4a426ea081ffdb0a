/** Ages of proofs by replay: delayed answers, frozen nodes, clocks that are set, restored tables. */
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	ageOfProof,
	createProvenRoutes,
	createSuspendedClock,
	isProvenRecent,
	lacksBound,
	noteVersion,
	readSuspendedClock,
	recordAnswer,
	recordExchange,
	recordProof,
	type RoutesProof,
} from '../../src/proven-age/index.js';

const limits = {revocationMilliseconds: 5000, configurationMilliseconds: 3000};

test('time counts suspensions and steps forward, and never falls behind', () => {
	const cases: ReadonlyArray<{
		readonly name: string;
		readonly readings: ReadonlyArray<readonly [monotonic: number, wall: number]>;
		readonly elapsed: number;
	}> = [
		{name: 'plain', readings: [[10, 1010]], elapsed: 10},
		{name: 'suspended', readings: [[10, 4010]], elapsed: 3010},
		{
			name: 'step forward and back',
			readings: [
				[10, 3010],
				[20, 1020],
			],
			elapsed: 2020,
		},
		{name: 'step back', readings: [[10, 10]], elapsed: 10},
		{
			name: 'step back, then suspended',
			readings: [
				[10, 10],
				[20, 3020],
			],
			elapsed: 3020,
		},
		{
			name: 'stands still while the wall clock runs slowly',
			readings: [[1000, 1990]],
			elapsed: 1000,
		},
		{
			name: 'rounding does not add up',
			readings: Array.from(
				{length: 200},
				(_, index) => [index, 1000 + index + (index % 2)] as const,
			),
			elapsed: 200,
		},
	];
	for (const {name, readings, elapsed} of cases) {
		const clock = createSuspendedClock({monotonic: 0, wall: 1000});
		let reading = 0;
		for (const [monotonic, wall] of readings) {
			reading = readSuspendedClock(clock, {monotonic, wall});
		}

		expect([name, reading]).toEqual([name, elapsed]);
	}
});

const answer = {era: 1, sentAt: 100, storeTime: 50_000, version: 5, isOwn: true};

test('an answer proves the moment of its question, however late it arrives', () => {
	const state = createProvenRoutes();
	const proof = recordAnswer(state, answer, 900);
	expect(ageOfProof(state, 5, 900)).toEqual(800);
	// The table may have looked at its rows up to 800 ms before its clock.
	expect(proof).toEqual({era: 1, provenAt: 49_200, version: 5});
});

test('a proof is judged by the latest time that the table can show', () => {
	const state = createProvenRoutes();
	recordExchange(state, {era: 1, sentAt: 0, storeTime: 10_000}, 0);
	recordProof(state, {era: 1, provenAt: 10_400, version: 3}, 1000);
	expect(Math.round(ageOfProof(state, 3, 1000))).toEqual(600);
	expect(ageOfProof(state, 2, 1000)).toEqual(Number.POSITIVE_INFINITY);
	// A tighter bound tells that the same proof is younger.
	recordExchange(state, {era: 1, sentAt: 1000, storeTime: 10_700}, 1100);
	expect(Math.round(ageOfProof(state, 3, 1100))).toEqual(400);
});

test('a proof without a bound of its era is placed once there is one', () => {
	const state = createProvenRoutes();
	recordProof(state, {era: 2, provenAt: 10_400, version: 3}, 1000);
	expect([lacksBound(state), isProvenRecent(state, 3, limits, 1000)]).toEqual([
		true,
		false,
	]);
	recordExchange(state, {era: 2, sentAt: 900, storeTime: 10_500}, 1000);
	expect([lacksBound(state), isProvenRecent(state, 3, limits, 1000)]).toEqual([
		false,
		true,
	]);
});

test('proofs of an older version count for it until they are too old', () => {
	const state = createProvenRoutes();
	recordAnswer(state, answer, 101);
	recordAnswer(state, {...answer, sentAt: 1100, storeTime: 51_000, version: 6}, 1101);
	expect(Math.round(ageOfProof(state, 5, 1200))).toEqual(1100);
	expect(Math.round(ageOfProof(state, 6, 1200))).toEqual(100);
	const sameLimits = {...limits, configurationMilliseconds: 5000};
	expect(isProvenRecent(state, 5, sameLimits, 4800)).toEqual(true);
	expect(isProvenRecent(state, 5, sameLimits, 4900)).toEqual(false);
});

test('a node that knows of a newer version uses its own only within the limit for changes', () => {
	const state = createProvenRoutes();
	recordAnswer(state, answer, 101);
	expect(isProvenRecent(state, 5, limits, 4800)).toEqual(true);
	noteVersion(state, 6);
	expect(isProvenRecent(state, 5, limits, 2900)).toEqual(true);
	expect(isProvenRecent(state, 5, limits, 3000)).toEqual(false);
	expect(isProvenRecent(state, 6, limits, 4800)).toEqual(true);
});

test('a restored table proves nothing about versions that were lost', () => {
	const state = createProvenRoutes();
	recordAnswer(state, answer, 101);
	noteVersion(state, 7);
	const restored = {...answer, era: 2, sentAt: 6000, storeTime: 9, version: 5};
	expect(recordAnswer(state, restored, 6001)?.version).toEqual(7);
	expect(isProvenRecent(state, 5, limits, 6001)).toEqual(false);
	expect(isProvenRecent(state, 7, limits, 6001)).toEqual(true);
});

test('nothing is taken from an answer that belongs to an earlier question', () => {
	const state = createProvenRoutes();
	recordAnswer(state, answer, 101);
	const stale = {...answer, sentAt: 4000, storeTime: 50_000 - 1};
	expect(recordAnswer(state, stale, 4001)).toEqual(undefined);
	expect(isProvenRecent(state, 5, limits, 5000)).toEqual(false);
	expect(lacksBound(state)).toEqual(true);
});

test('a proof of the future is ignored and blocks no other', () => {
	const state = createProvenRoutes();
	recordExchange(state, {era: 1, sentAt: 0, storeTime: 10_000}, 0);
	recordProof(state, {era: 1, provenAt: 99_000, version: 3}, 10);
	recordProof(state, {era: 1, provenAt: 10_005, version: 3}, 20);
	expect(isProvenRecent(state, 3, limits, 20)).toEqual(true);
});

/**
 * Histories of changes, questions, rumours, restores, suspensions and restarts of three nodes. True time
 * is that of the simulation; the table's clock is the same plus an offset of its era.
 */
const nodeCount = 3;
const step = fc.oneof(
	fc.record({
		kind: fc.constant('wait' as const),
		milliseconds: fc.integer({min: 1, max: 3000}),
	}),
	fc.record({kind: fc.constant('change' as const)}),
	fc.record({
		kind: fc.constant('ask' as const),
		node: fc.nat(nodeCount - 1),
		there: fc.nat(900),
		back: fc.nat(900),
	}),
	fc.record({
		kind: fc.constant('peer' as const),
		node: fc.nat(nodeCount - 1),
		peer: fc.nat(nodeCount - 1),
		delay: fc.nat(500),
	}),
	fc.record({
		kind: fc.constant('rumour' as const),
		node: fc.nat(nodeCount - 1),
		index: fc.nat(20),
	}),
	fc.record({
		kind: fc.constant('fetch' as const),
		node: fc.nat(nodeCount - 1),
		peer: fc.nat(nodeCount - 1),
	}),
	fc.record({
		kind: fc.constant('suspend' as const),
		node: fc.nat(nodeCount - 1),
		milliseconds: fc.integer({min: 1, max: 8000}),
	}),
	fc.record({
		kind: fc.constant('set' as const),
		node: fc.nat(nodeCount - 1),
		milliseconds: fc.integer({min: -4000, max: 4000}),
	}),
	fc.record({kind: fc.constant('restart' as const), node: fc.nat(nodeCount - 1)}),
	fc.record({kind: fc.constant('restore' as const)}),
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

function createWorld() {
	let time = 1000;
	let era = 1;
	let eraOffset = 77;
	/** True time at which each version became the newest; its index is the version. */
	const changedAt = [0, 0];
	const rumours: RoutesProof[] = [];
	const nodes = Array.from({length: nodeCount}, () => createNode());

	function createNode() {
		return {
			unseen: 0,
			wallOffset: 0,
			version: 0,
			clock: createSuspendedClock({monotonic: time, wall: time}),
			proven: createProvenRoutes(),
		};
	}

	function read(node: (typeof nodes)[number]): number {
		return readSuspendedClock(node.clock, {
			monotonic: time - node.unseen,
			wall: time + node.wallOffset,
		});
	}

	function play(event: Step): void {
		switch (event.kind) {
			case 'wait': {
				time += event.milliseconds;
				break;
			}

			case 'change': {
				changedAt.push(time);
				break;
			}

			case 'ask': {
				const node = nodes[event.node]!;
				const sentAt = read(node);
				time += event.there;
				const version = changedAt.length - 1;
				const storeTime = time + eraOffset;
				time += event.back;
				node.version = Math.max(node.version, version);
				const received = {era, sentAt, storeTime, version, isOwn: true};
				const proof = recordAnswer(node.proven, received, read(node));
				if (proof) {
					rumours.push(proof);
				}

				break;
			}

			case 'peer': {
				const [node, peer] = [nodes[event.node]!, nodes[event.peer]!];
				const sentAt = read(node);
				const {bound} = peer.proven;
				if (bound !== undefined) {
					const storeTime = bound.storeTime + (read(peer) - bound.sentAt) * (1 + 200e-6);
					time += event.delay;
					recordExchange(node.proven, {era: bound.era, sentAt, storeTime}, read(node));
				}

				break;
			}

			case 'rumour': {
				const proof = rumours.at(-1 - event.index);
				const node = nodes[event.node]!;
				if (proof) {
					recordProof(node.proven, proof, read(node));
				}

				break;
			}

			case 'fetch': {
				const [node, peer] = [nodes[event.node]!, nodes[event.peer]!];
				node.version = Math.max(node.version, peer.version);
				break;
			}

			case 'suspend': {
				const node = nodes[event.node]!;
				read(node);
				time += event.milliseconds;
				node.unseen += event.milliseconds;
				break;
			}

			case 'set': {
				const node = nodes[event.node]!;
				read(node);
				node.wallOffset += event.milliseconds;
				read(node);
				break;
			}

			case 'restart': {
				nodes[event.node] = createNode();
				break;
			}

			case 'restore': {
				era += 1;
				eraOffset -= 4000;
				break;
			}
		}
	}

	return {
		play,
		/** Nodes that hold their routes recent although they were replaced longer ago than the limit. */
		listUnsound: () =>
			nodes.filter(node => {
				const replacedAt = changedAt[node.version + 1];
				const isOutdated =
					replacedAt !== undefined && time - replacedAt > limits.revocationMilliseconds;
				return (
					isOutdated && isProvenRecent(node.proven, node.version, limits, read(node))
				);
			}),
		countRecent: () =>
			nodes.filter(node => isProvenRecent(node.proven, node.version, limits, read(node)))
				.length,
	};
}

test('in no history are routes held recent that were replaced longer ago than the limit', () => {
	let recent = 0;
	fc.assert(
		fc.property(fc.array(step, {minLength: 5, maxLength: 60}), steps => {
			const world = createWorld();
			for (const event of steps) {
				world.play(event);
				expect(world.listUnsound().length).toEqual(0);
			}

			recent += world.countRecent();
		}),
		{numRuns: 2000, seed: 4711},
	);
	expect(recent).toBeGreaterThan(100);
});
