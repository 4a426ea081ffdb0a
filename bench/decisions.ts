/**
 * Measures the time of one routing or admission decision in microseconds. All cases, baselines
 * included, run in the same process in turns; each result is the median of several rounds.
 *
 * Usage: npm run bench:decisions -- [file]
 */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {createAdmission, offer, release} from '../src/admission/index.js';
import {
	updateServers,
	attemptEnds,
	balancingAlgorithms,
	chooseServer,
	createLoadView,
	decodeLoadReport,
	encodeLoadReport,
	recordResult,
	recordSent,
	type BalancingAlgorithm,
} from '../src/routing/index.js';
import {createRandom} from './choice-model.js';

const rounds = 9;
const iterations = 50_000;
const serverCount = 24;
const requestEnd = {serviceMilliseconds: 10};

/** A decision, made `iterations` times in each round. */
type Case = {readonly name: string; readonly run: () => void};

function createChoiceCase(choice: BalancingAlgorithm, candidates: number): Case {
	const random = createRandom(1);
	const view = createLoadView({nodeId: 'self', region: 'a', failureDomain: 'a-1'});
	const members = Array.from({length: serverCount}, (_, index) => ({
		nodeId: `node-${index}`,
		region: 'a',
		failureDomain: 'a-1',
		incarnation: 1,
		slots: 10,
	}));
	const service = updateServers(view, 'availability', members, 0);
	const request = {
		policy: {
			choice,
			candidates,
			ejectionShare: 0.2,
			retryShare: 0.1,
			hedgeShare: 0.05,
			hedgeQuantile: 0.95,
			crossRegionBytesPerSecond: 0,
		},
		rankIndex: 0,
		rankCount: 3,
		bytes: 500,
		excluded: new Set<string>(),
		random,
	};
	let now = 0;
	return {
		name: `choose and learn: ${choice}, ${candidates} of ${serverCount}`,
		run() {
			now += 0.1;
			const server = chooseServer(view, service, request, now)!;
			recordSent(server, now);
			const report = {
				inFlight: Math.floor(random() * 10),
				queued: 0,
				serviceMilliseconds: 10,
				slots: 10,
			};
			const result = {end: attemptEnds.answered, latencyMilliseconds: 10, report};
			recordResult(service, server, result, now);
		},
	};
}

const policy = {
	ranks: [
		{name: 'urgent', floorShare: 0},
		{name: 'normal', floorShare: 0.2},
		{name: 'idle', floorShare: 0.1},
	],
	admission: {queuePerSlot: 4, fairness: true},
};

function createRequest(id: string, deadlineAt: number) {
	return {id, rank: 'idle', caller: 'caller', deadlineAt};
}

function createIdleGateCase(): Case {
	const state = createAdmission(policy, 10);
	let sequence = 0;
	return {
		name: 'admit and release at an idle gate',
		run() {
			sequence += 1;
			const id = `${sequence}`;
			offer(state, createRequest(id, Number.POSITIVE_INFINITY), sequence);
			release(state, id, requestEnd, sequence);
		},
	};
}

function createBusyGateCase(): Case {
	const state = createAdmission(policy, 10);
	let sequence = 0;
	let oldest = 0;
	return {
		name: 'queue, release and dispatch at a busy gate',
		run() {
			while (sequence < oldest + 30) {
				sequence += 1;
				offer(state, createRequest(`${sequence}`, Number.POSITIVE_INFINITY), sequence);
			}

			oldest += 1;
			release(state, `${oldest}`, requestEnd, sequence);
		},
	};
}

function createRefusalCase(name: string, deadlineMilliseconds: number): Case {
	const state = createAdmission(policy, 10);
	let sequence = 0;
	for (; sequence < 50; sequence += 1) {
		offer(state, createRequest(`${sequence}`, Number.POSITIVE_INFINITY), 0);
	}

	return {
		name,
		run() {
			sequence += 1;
			offer(state, createRequest(`${sequence}`, deadlineMilliseconds), 0);
		},
	};
}

const cases: readonly Case[] = [
	createChoiceCase(balancingAlgorithms.random, 1),
	createChoiceCase(balancingAlgorithms.leastInFlight, serverCount),
	createChoiceCase(balancingAlgorithms.twoChoices, 2),
	createChoiceCase(balancingAlgorithms.adaptive, 3),
	createChoiceCase(balancingAlgorithms.adaptive, 8),
	createChoiceCase(balancingAlgorithms.adaptive, serverCount),
	createIdleGateCase(),
	createBusyGateCase(),
	createRefusalCase('refuse: the queue is full', Number.POSITIVE_INFINITY),
	createRefusalCase('refuse: too late', 1),
	{
		name: 'encode and decode a load report',
		run() {
			const load = {inFlight: 7, queued: 3, serviceMilliseconds: 12.3, slots: 10};
			decodeLoadReport(encodeLoadReport(load));
		},
	},
];

function measureRound(run: () => void): number {
	const started = performance.now();
	for (let iteration = 0; iteration < iterations; iteration += 1) {
		run();
	}

	return ((performance.now() - started) * 1000) / iterations;
}

const times = cases.map((): number[] => []);
for (let round = 0; round <= rounds; round += 1) {
	for (const [index, {run}] of cases.entries()) {
		const microseconds = measureRound(run);
		// The first round only warms up the JIT compiler.
		if (round > 0) {
			times[index]!.push(microseconds);
		}
	}
}

const rows = cases.map(({name}, index) => {
	const sorted = times[index]!.toSorted((left, right) => left - right);
	return {
		name,
		medianMicroseconds: sorted[Math.floor(sorted.length / 2)]!,
		highestMicroseconds: sorted.at(-1)!,
	};
});
for (const {name, medianMicroseconds, highestMicroseconds} of rows) {
	console.log(
		`${name.padEnd(50)} ${medianMicroseconds.toFixed(2).padStart(7)} µs, highest round ${highestMicroseconds.toFixed(2)} µs`,
	);
}

const file = process.argv[2];
if (file !== undefined) {
	writeFileSync(file, `${JSON.stringify(rows, undefined, 2)}\n`);
}
