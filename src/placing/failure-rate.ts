/**
 * The share of a server's recent requests that failed, as seen by its gate. It decays over time,
 * so that a server that is avoided is tried again.
 *
 * Load pattern: servers that fail or shed some or all of their requests while their health check
 * passes.
 */

/** Weight of one more request in the moving share. */
const requestWeight = 0.15;
/** Time in which the share decays by a factor of e, in milliseconds. */
const decayMilliseconds = 3000;

export type FailureRate = {
	share: number;
	/** Monotonic milliseconds. */
	updatedAt: number;
};

/** @returns a failure rate of zero */
export function createFailureRate(): FailureRate {
	return {share: 0, updatedAt: 0};
}

/**
 * Records how one request ended.
 *
 * @param failureRate changed in place
 * @param hasFailed whether the server failed it
 * @param now monotonic time in milliseconds
 */
export function recordAttemptResult(
	failureRate: FailureRate,
	hasFailed: boolean,
	now: number,
): void {
	const share = currentFailureShare(failureRate, now);
	failureRate.share = share + ((hasFailed ? 1 : 0) - share) * requestWeight;
	failureRate.updatedAt = now;
}

/**
 * @param failureRate the recorded results
 * @param now monotonic time in milliseconds
 * @returns share of the recent requests that failed, 0 to 1
 */
export function currentFailureShare(failureRate: FailureRate, now: number): number {
	return failureRate.share * Math.exp((failureRate.updatedAt - now) / decayMilliseconds);
}
