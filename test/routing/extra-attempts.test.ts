/** Retries and hedges: who may make an extra attempt, and how many there can be. */
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	createHedging,
	createExtraAttemptBudget,
	decodeLoadReport,
	creditFirstAttempt,
	encodeLoadReport,
	findHedgeDelay,
	maximumLoadValueBytes,
	recordLatency,
	tryHedge,
	tryRetry,
	type RetryRequest,
} from '../../src/routing/index.js';
import {policy} from './support.js';

const seed = 20_261_204;
const safe: RetryRequest = {
	isSafe: true,
	retriesAbove: 0,
	isCompleteResponse: false,
	deadlineAt: 100,
	expectedMilliseconds: 10,
};

const retryCases = [
	{name: 'safe and in time', request: safe, expected: true},
	{name: 'may not run twice', request: {...safe, isSafe: false}, expected: false},
	{
		name: 'part of a retry further up',
		request: {...safe, retriesAbove: 1},
		expected: false,
	},
	{
		name: 'the whole answer of a server',
		request: {...safe, isWholeAnswer: true},
		expected: false,
	},
	{name: 'too little time left', request: {...safe, deadlineAt: 10}, expected: false},
];

for (const row of retryCases) {
	test(`retry: ${row.name}`, () => {
		expect(tryRetry(createExtraAttemptBudget(), row.request, 0)).toEqual(row.expected);
	});
}

test('extra attempts never pass their share of first attempts and the starting one', () => {
	fc.assert(
		fc.property(
			fc.integer({min: 0, max: 100}),
			fc.array(fc.boolean()),
			(percent, order) => {
				const budget = createExtraAttemptBudget();
				let first = 0;
				let extra = 0;
				for (const isFirst of order) {
					if (isFirst) {
						first += 1;
						creditFirstAttempt(budget, percent / 100);
					} else if (tryRetry(budget, safe, 0)) {
						extra += 1;
					}
				}

				expect(extra).toBeLessThanOrEqual(1 + (first * percent) / 100 + 1e-9);
			},
		),
		{seed},
	);
});

/** Sends `calls` down a chain whose last layer always fails, and counts attempts there. */
function countDeepestAttempts(calls: number, layers: number, carried: boolean): number {
	const budgets = Array.from({length: layers}, () => createExtraAttemptBudget());
	let attempts = 0;
	const send = (layer: number, retriesAbove: number): void => {
		if (layer === layers) {
			attempts += 1;
			return;
		}

		const budget = budgets[layer]!;
		creditFirstAttempt(budget, 0.09);
		send(layer + 1, retriesAbove);
		const isWholeAnswer = carried && layer + 1 < layers;
		if (tryRetry(budget, {...safe, retriesAbove, isCompleteResponse: isWholeAnswer}, 0)) {
			send(layer + 1, carried ? retriesAbove + 1 : 0);
		}
	};

	for (let call = 0; call < calls; call += 1) {
		send(0, 0);
	}

	return attempts;
}

test('27 layers deep a failing last layer gets less than 1.1 times its calls', () => {
	const calls = 1000;
	expect(countDeepestAttempts(calls, 27, true) / calls).toBeLessThan(1.1);
	// The same chain without the carried mark multiplies its retries.
	expect(countDeepestAttempts(calls, 27, false) / calls).toBeGreaterThan(2);
});

test('hedges wait for a high quantile, are idempotent only and keep to their share', () => {
	const hedging = createHedging();
	expect(findHedgeDelay(hedging, policy, 0)).toEqual(undefined);
	for (let latency = 1; latency <= 200; latency += 1) {
		recordLatency(hedging, latency);
	}

	const delay = findHedgeDelay(hedging, policy, 5000);
	expect(delay).not.toEqual(undefined);
	expect(Math.abs(delay! - 190)).toBeLessThan(4);
	expect(tryHedge(hedging, false)).toEqual(false);
	expect(tryHedge(hedging, true)).toEqual(true);
	expect(tryHedge(hedging, true)).toEqual(false);
});

test('a load report survives its header, and its length is bounded', () => {
	const count = fc.nat(9_999_999);
	const tenths = fc.nat(99_999_999);
	const report = fc.tuple(count, count, tenths, count).map(parts => ({
		inFlight: parts[0],
		queued: parts[1],
		serviceMilliseconds: parts[2] / 10,
		slots: parts[3],
	}));
	fc.assert(
		fc.property(report, load => {
			const value = encodeLoadReport(load);
			expect(value.length).toBeLessThanOrEqual(maximumLoadValueBytes);
			expect(decodeLoadReport(value)).toEqual(load);
		}),
		{seed},
	);
});

test('what is no load report is refused without an error', () => {
	const almost = fc.array(fc.constantFrom('', '0', '12', ',', ',', '-', 'e', ' ', '.'));
	const garbage = fc.oneof(
		fc.string(),
		almost.map(parts => parts.join('')),
	);
	fc.assert(
		fc.property(garbage, value => {
			const load = decodeLoadReport(value);
			const values = load === undefined ? [] : Object.values(load);
			expect(values.every(part => Number.isFinite(part) && part >= 0)).toEqual(true);
			const hasOthers = [...value].some(sign => !'0123456789,'.includes(sign));
			expect(load !== undefined && hasOthers).toEqual(false);
		}),
		{seed, numRuns: 1000},
	);
});
