/** The retry budget: the limit holds over all gates of a service without coordination. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../../src/load/random.js';
import {
	createRetryBudget,
	recordFirstAttempt,
	recordRetry,
	mayRetry,
	type RetryBudget,
	type RetryPolicy,
} from '../../src/repeats/index.js';

const seed = 20_261_204;
const policy: RetryPolicy = {ratio: 0.2, slack: 58, windowMilliseconds: 10_000};

function trySpendRetry(
	budget: RetryBudget,
	limit: RetryPolicy,
	gates: number,
	now: number,
): boolean {
	const isAdmitted = mayRetry(budget, limit, {gates, reserved: 0}, now);
	if (isAdmitted) {
		recordRetry(budget, limit, now);
	}

	return isAdmitted;
}

test('every window stays within the limit while all gates fail half of their requests', () => {
	const random = createRandom(seed);
	const gates = Array.from({length: 6}, () => createRetryBudget());
	const firstAttempts: number[] = [];
	const retries: number[] = [];
	for (let now = 0; now < 60_000; now += 20) {
		const gate = gates[Math.floor(random() * gates.length)]!;
		firstAttempts.push(now);
		recordFirstAttempt(gate, policy, now);
		const other = gates[Math.floor(random() * gates.length)]!;
		if (random() < 0.5 && trySpendRetry(other, policy, gates.length, now)) {
			retries.push(now);
		}
	}

	for (let start = 0; start < 50_000; start += 500) {
		const within = (time: number): boolean => time >= start && time < start + 10_000;
		const allowed =
			policy.ratio * firstAttempts.filter(time => within(time)).length + policy.slack;
		expect(retries.filter(time => within(time)).length).toBeLessThanOrEqual(allowed);
	}

	expect(retries.length).toBeGreaterThan(100);
});

test('a gate without first attempts may still admit a retry', () => {
	const budget = createRetryBudget();
	expect(trySpendRetry(budget, policy, 6, 0)).toEqual(true);
});

test('requests made by retries leave less room for retries', () => {
	const random = createRandom(seed);
	const gates = Array.from({length: 6}, () => createRetryBudget());
	const counts = {firstAttempts: 0, repeated: 0};
	for (let now = 0; now < 10_000; now += 20) {
		const gate = gates[Math.floor(random() * gates.length)]!;
		counts.firstAttempts += 1;
		recordFirstAttempt(gate, policy, now);
		const called = gates[Math.floor(random() * gates.length)]!;
		if (random() < 0.15) {
			counts.repeated += 1;
			recordRetry(called, policy, now);
		}

		trySpendRetry(called, policy, gates.length, now);
	}

	const arrivals = gates.reduce((sum, {retries}) => sum + retries.length, 0);
	expect(counts.repeated).toBeGreaterThan(50);
	expect(arrivals).toBeLessThanOrEqual(
		policy.ratio * counts.firstAttempts + policy.slack,
	);
});
