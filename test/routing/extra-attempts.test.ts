/** Retries and hedges: which calls may make extra attempts, and how many; and load reports. */
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
	{name: 'allowed if safe and in time', request: safe, expected: true},
	{
		name: 'denied if the call may not run twice',
		request: {...safe, isSafe: false},
		expected: false,
	},
	{
		name: 'denied if an earlier call of the chain was retried',
		request: {...safe, retriesAbove: 1},
		expected: false,
	},
	{
		name: 'denied after a complete response of a server',
		request: {...safe, isCompleteResponse: true},
		expected: false,
	},
	{
		name: 'denied if too little time is left',
		request: {...safe, deadlineAt: 10},
		expected: false,
	},
];

for (const row of retryCases) {
	test(`retry: ${row.name}`, () => {
		expect(tryRetry(createExtraAttemptBudget(), row.request, 0)).toEqual(row.expected);
	});
}

test('extra attempts never exceed their share of first attempts plus the initial one', () => {
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

/** Sends `calls` through a chain whose last layer always fails, and counts the attempts there. */
function countDeepestAttempts(
	calls: number,
	layers: number,
	isPassedOn: boolean,
): number {
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
		const isCompleteResponse = isPassedOn && layer + 1 < layers;
		if (tryRetry(budget, {...safe, retriesAbove, isCompleteResponse}, 0)) {
			send(layer + 1, isPassedOn ? retriesAbove + 1 : 0);
		}
	};

	for (let call = 0; call < calls; call += 1) {
		send(0, 0);
	}

	return attempts;
}

test('a failing last layer, 27 layers deep, gets less than 1.1 attempts per call', () => {
	const calls = 1000;
	expect(countDeepestAttempts(calls, 27, true) / calls).toBeLessThan(1.1);
	// Without passing on the retry count, the same chain multiplies retries.
	expect(countDeepestAttempts(calls, 27, false) / calls).toBeGreaterThan(2);
});

test('hedges wait for a high latency quantile, and only idempotent calls within the share are hedged', () => {
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

test('a load report round-trips through its header value, whose length is bounded', () => {
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

test('an invalid load report is rejected without an exception', () => {
	const similar = fc.array(fc.constantFrom('', '0', '12', ',', ',', '-', 'e', ' ', '.'));
	const text = fc.oneof(
		fc.string(),
		similar.map(parts => parts.join('')),
	);
	fc.assert(
		fc.property(text, value => {
			const load = decodeLoadReport(value);
			const values = load === undefined ? [] : Object.values(load);
			expect(values.every(part => Number.isFinite(part) && part >= 0)).toEqual(true);
			const hasOthers = [...value].some(sign => !'0123456789,'.includes(sign));
			expect(load !== undefined && hasOthers).toEqual(false);
		}),
		{seed, numRuns: 1000},
	);
});
