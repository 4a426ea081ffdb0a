/**
 * The share of a server's recent requests that failed, by its gate's own evidence. It fades, so
 * that a server that is left out is tried again.
 *
 * Load pattern: servers that fail or shed a part of their requests, or all of them, while their
 * health check is good.
 */

/** Weight of one more request. */
const requestWeight = 0.15;
/** Time in which the share fades by a factor of e, in milliseconds. */
const fadeMilliseconds = 3000;

export type FailureRate = {
	share: number;
	/** Monotonic milliseconds. */
	updatedAt: number;
};

/** @returns a record without failures */
export function createFailureRate(): FailureRate {
	return {share: 0, updatedAt: 0};
}

/**
 * Learns how one request ended.
 *
 * @param failures changed in place
 * @param hasFailed whether the server failed it
 * @param now monotonic time in milliseconds
 */
export function recordAttemptResult(
	failures: FailureRate,
	hasFailed: boolean,
	now: number,
): void {
	const share = currentFailureShare(failures, now);
	failures.share = share + ((hasFailed ? 1 : 0) - share) * requestWeight;
	failures.updatedAt = now;
}

/**
 * @param failures what was learned
 * @param now monotonic time in milliseconds
 * @returns share of the recent requests that failed, 0 to 1
 */
export function currentFailureShare(failures: FailureRate, now: number): number {
	return failures.share * Math.exp((failures.updatedAt - now) / fadeMilliseconds);
}
