/** Time-outs that follow from measured round trips, and this node's part of a link. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	chooseAnswerTimeout,
	createRegionLink,
	createRoundTripEstimate,
	fitsRegionLink,
	recordCallBytes,
	recordRoundTrip,
} from '../../src/placing/index.js';

const bounds = {minimum: 40, maximum: 400, first: 100};

const cases: ReadonlyArray<readonly [string, readonly number[], number, number]> = [
	['nothing is known', [], 100, 100],
	['a far region answers steadily', Array.from({length: 40}, () => 60), 70, 71],
	['a near region answers steadily', Array.from({length: 40}, () => 4), 40, 40],
	['the first answer leaves room for slower ones', [60], 180, 180],
	['one pause is no distance', [...Array.from({length: 40}, () => 60), 3000], 70, 320],
	[
		'a link became slow',
		[...Array.from({length: 40}, () => 60), ...Array.from({length: 60}, () => 200)],
		200,
		260,
	],
];

for (const [name, samples, from, to] of cases) {
	test(`time-out when ${name}`, () => {
		const estimate = createRoundTripEstimate();
		for (const sample of samples) {
			recordRoundTrip(estimate, sample);
		}

		const timeout = chooseAnswerTimeout(estimate, bounds);
		expect(timeout).toBeGreaterThanOrEqual(from);
		expect(timeout).toBeLessThanOrEqual(to);
	});
}

test('calls fill no more than seven tenths of the part of a link, in each direction', () => {
	const link = createRegionLink();
	const call = {sent: 1000, received: 4000};
	const megabits = 1;
	let received = 0;
	for (let now = 0; now < 20_000; now += 5) {
		if (fitsRegionLink(link, call, megabits, now)) {
			recordCallBytes(link, call, now);
			received += call.received;
		}
	}

	const rate = (received * 8) / 20_000 / 1000;
	expect(rate).toBeGreaterThan(0.6);
	// The first two seconds may fill what is counted over the window.
	expect(rate).toBeLessThan(0.8);
	expect(fitsRegionLink(link, call, undefined, 20_000)).toEqual(true);
});
