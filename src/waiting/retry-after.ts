/**
 * When a refused caller should return: when what waits before it has gone, so that its next try
 * is likely to be served, but early enough that the work still fits in its time. Returns are
 * spread, so that callers refused in one moment do not return in one.
 *
 * Load pattern: a burst in which many requests are refused within a few milliseconds.
 */

/** Callers wait no longer than this share of the time that they have left. */
const largestShare = 1 / 3;
/** Shortest pause worth a new connection, in milliseconds. */
const smallestMilliseconds = 20;
/** Returns are spread over this share of the pause, both ways. */
const spread = 0.25;

/**
 * @param waitMilliseconds how long the request would have waited
 * @param remainingMilliseconds time left until its deadline
 * @param random a number from 0 to below 1
 * @returns milliseconds
 */
export function chooseRetryAfter(
	waitMilliseconds: number,
	remainingMilliseconds: number,
	random: number,
): number {
	const spreadWait = waitMilliseconds * (1 - spread + 2 * spread * random);
	const largest = Math.max(0, remainingMilliseconds) * largestShare;
	return Math.min(Math.max(smallestMilliseconds, spreadWait), largest);
}
