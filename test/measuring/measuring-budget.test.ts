/** The measuring budget: no second exceeds the limit, whatever is requested. */
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	changeMeasuringPolicy,
	createMeasuringBudget,
	createRateLimiter,
	measuringUses,
	recordReceived,
	trySpend,
	tryAcquire,
} from '../../src/measuring/index.js';

const seed = 20_261_204;
const windowMilliseconds = 1000;

type Spent = {readonly at: number; readonly amount: number};

/** The largest sum in any window of one second; it is enough to try windows that end at an entry. */
function findHighestSecond(spent: readonly Spent[]): number {
	let highest = 0;
	let sum = 0;
	let start = 0;
	for (const {at, amount} of spent) {
		sum += amount;
		while (spent[start]!.at <= at - windowMilliseconds) {
			sum -= spent[start]!.amount;
			start += 1;
		}

		highest = Math.max(highest, sum);
	}

	return highest;
}

test('no window of one second exceeds the limit, at any rate and size', () => {
	const step = fc.record({
		waited: fc.double({min: 0, max: 300, noNaN: true}),
		amount: fc.integer({min: 0, max: 400}),
		copies: fc.integer({min: 1, max: 20}),
	});
	fc.assert(
		fc.property(
			fc.integer({min: 0, max: 2000}),
			fc.array(step, {maxLength: 200}),
			(limit, steps) => {
				const limiter = createRateLimiter(limit);
				const spent: Spent[] = [];
				let now = 0;
				for (const {waited, amount, copies} of steps) {
					now += waited;
					for (let copy = 0; copy < copies; copy += 1) {
						if (tryAcquire(limiter, amount, now)) {
							spent.push({at: now, amount});
						}
					}
				}

				expect(findHighestSecond(spent)).toBeLessThanOrEqual(limit);
			},
		),
		{seed, numRuns: 500},
	);
});

const rateCases = [
	{probesPerSecond: 1, members: 10},
	{probesPerSecond: 100, members: 30},
	{probesPerSecond: 1000, members: 100},
	{probesPerSecond: 10_000, members: 300},
];

for (const {probesPerSecond, members} of rateCases) {
	test(`${members} nodes at ${probesPerSecond} probes a second stay within the limit`, () => {
		const policy = {bytesPerSecond: 8000, processorShare: 0.01};
		const budgets = Array.from({length: members}, () => createMeasuringBudget(policy));
		const spent: Spent[][] = budgets.map(() => []);
		const cost = {bytes: 80, processorMicroseconds: 20};
		const steps = Math.min(20_000, probesPerSecond * 3);
		for (let step = 0; step < steps; step += 1) {
			const at = (step * windowMilliseconds) / probesPerSecond;
			const from = step % members;
			const to = (step * 7 + 1) % members;
			if (!trySpend(budgets[from]!, measuringUses.probe, cost, at)) {
				continue;
			}

			spent[from]!.push({at, amount: cost.bytes});
			if (trySpend(budgets[to]!, measuringUses.probeReply, cost, at)) {
				spent[to]!.push({at, amount: cost.bytes});
			}
		}

		for (const node of spent) {
			expect(findHighestSecond(node)).toBeLessThanOrEqual(policy.bytesPerSecond);
		}
	});
}

test('the processor share limits measuring as the bytes do', () => {
	const budget = createMeasuringBudget({
		bytesPerSecond: 1_000_000,
		processorShare: 0.001,
	});
	const cost = {bytes: 1, processorMicroseconds: 300};
	const granted = Array.from({length: 10}, () =>
		trySpend(budget, measuringUses.probe, cost, 0),
	).filter(Boolean);
	expect(granted.length).toEqual(3);
	expect(budget.refused).toEqual(7);
});

test('what other nodes send reduces what this node may send', () => {
	const budget = createMeasuringBudget({bytesPerSecond: 100, processorShare: 1});
	const cost = {bytes: 60, processorMicroseconds: 1};
	recordReceived(budget, cost, 0);
	expect(trySpend(budget, measuringUses.probeReply, cost, 1)).toEqual(false);
	expect(trySpend(budget, measuringUses.probeReply, cost, 1100)).toEqual(true);
});

test('a preset with a smaller budget applies at once, with what was spent before', () => {
	const budget = createMeasuringBudget({bytesPerSecond: 1000, processorShare: 1});
	const cost = {bytes: 400, processorMicroseconds: 1};
	trySpend(budget, measuringUses.probe, cost, 0);
	changeMeasuringPolicy(budget, {bytesPerSecond: 500, processorShare: 1});
	expect(trySpend(budget, measuringUses.probe, cost, 10)).toEqual(false);
});
