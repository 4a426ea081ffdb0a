/** How long a report of the server's speed is used. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	createServerSpeed,
	isSpeedStale,
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
