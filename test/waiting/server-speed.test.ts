/** How long a report of the server's speed is used. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	createServerSpeed,
	isSpeedStale,
	needsReportForEstimate,
	recordSlowdown,
} from '../../src/waiting/server-speed.js';

/** Round trip in a region and the sending of a request, on a small VM. */
const queryToArrivalMilliseconds = 10;
/** The gate rechecks waiting requests this often, to start them when a slow period ends. */
const queueCheckMilliseconds = 15;

test('the request that a load query invited needs no further report, a recheck of the queue does', () => {
	const speed = createServerSpeed();
	expect(isSpeedStale(speed, 0)).toEqual(true);
	recordSlowdown(speed, 1, 0);
	expect(isSpeedStale(speed, queryToArrivalMilliseconds)).toEqual(false);
	expect(isSpeedStale(speed, queueCheckMilliseconds)).toEqual(true);
});

const slowPeriodMilliseconds = 150;

/** Counts how often a server is asked while gates are asked every few milliseconds. */
function countReports(startsAtOnce: boolean, responseMilliseconds: number): number {
	const speed = createServerSpeed();
	recordSlowdown(speed, 1, 0);
	let reports = 0;
	let lastResponseAt = 0;
	for (let now = 0; now < 3000; now += 3) {
		if (now - lastResponseAt >= responseMilliseconds) {
			lastResponseAt = now;
			recordSlowdown(speed, 1, now);
		}

		if (needsReportForEstimate(speed, startsAtOnce, now)) {
			reports += 1;
			recordSlowdown(speed, 1, now);
		}
	}

	return reports;
}

test('a full server whose responses pass is not asked, however many load queries come', () => {
	expect(countReports(false, 40)).toEqual(0);
});

test('a full server that sends no responses is asked about once a slow period', () => {
	const reports = countReports(false, Number.POSITIVE_INFINITY);
	expect(reports).toBeLessThanOrEqual(3000 / slowPeriodMilliseconds);
	expect(reports).toBeGreaterThanOrEqual(3000 / slowPeriodMilliseconds / 2);
});

test('a server with a free slot is asked about twice a slow period', () => {
	const reports = countReports(true, Number.POSITIVE_INFINITY);
	expect(reports).toBeLessThanOrEqual((2 * 3000) / slowPeriodMilliseconds);
	expect(reports).toBeGreaterThanOrEqual(3000 / slowPeriodMilliseconds);
});
