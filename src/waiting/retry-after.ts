/**
 * When a refused caller should retry: once the requests before it are likely served, but early
 * enough that the retry can finish before the deadline. Retries are spread by jitter, so that
 * callers refused at the same moment do not return at the same moment.
 *
 * Load pattern: a burst in which many requests are refused within a few milliseconds.
 */

/** Callers wait no longer than this share of the time left until the deadline. */
const maximumShareOfRemaining = 1 / 3;
/** Shortest pause that is worth a new connection, in milliseconds. */
const minimumMilliseconds = 20;
/** Retries are spread over this share of the pause, in both directions. */
const jitter = 0.25;

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
	const spreadWait = waitMilliseconds * (1 - jitter + 2 * jitter * random);
	const maximum = Math.max(0, remainingMilliseconds) * maximumShareOfRemaining;
	return Math.min(Math.max(minimumMilliseconds, spreadWait), maximum);
}
