/**
 * The rate at which requests may start at a server that names a limit on it, or that bears less while it
 * is cold; the lower limit holds. The allowance grows with time up to a short burst. It is empty when a
 * limit becomes known, since an earlier process of this node may have started requests shortly before.
 *
 * Load pattern: a flood of requests to a server that names a limit far below it, while its node is
 * restarted or frozen.
 */

/** Time whose starts may come at once, in seconds. */
const burstSeconds = 0.25;
/** Tolerance for rounding in the sum of many small allowances. */
const roundingTolerance = 1e-6;
const millisecondsPerSecond = 1000;

export type StartRate = {
	/** The limit in force; infinite without one. */
	requestsPerSecond: number;
	/** Requests that may start at `countedAt`; may be a fraction. */
	allowance: number;
	/** Monotonic time in milliseconds. */
	countedAt: number;
	/** Limit that the server names; infinite if it names none. */
	namedRequestsPerSecond: number;
	/** Requests a second that the server bears while it is cold; infinite for no limit. */
	coldRequestsPerSecond: number;
	isCold: boolean;
};

/** @returns a rate without a limit */
export function createStartRate(): StartRate {
	return {
		requestsPerSecond: Number.POSITIVE_INFINITY,
		allowance: 0,
		countedAt: Number.NEGATIVE_INFINITY,
		namedRequestsPerSecond: Number.POSITIVE_INFINITY,
		coldRequestsPerSecond: Number.POSITIVE_INFINITY,
		isCold: false,
	};
}

/**
 * Sets the limit that the server names.
 *
 * @param rate changed in place
 * @param requestsPerSecond the limit; infinite for none
 * @param now monotonic time in milliseconds
 */
export function changeStartRate(
	rate: StartRate,
	requestsPerSecond: number,
	now: number,
): void {
	rate.namedRequestsPerSecond = requestsPerSecond;
	applyLimits(rate, now);
}

/**
 * Sets what the server bears while it is cold, and whether it is.
 *
 * @param rate changed in place
 * @param cold the limit, infinite for none, and whether the server is cold; what is not given stays
 * @param now monotonic time in milliseconds
 */
export function changeColdLimit(
	rate: StartRate,
	cold: Partial<Pick<StartRate, 'coldRequestsPerSecond' | 'isCold'>>,
	now: number,
): void {
	Object.assign(rate, cold);
	applyLimits(rate, now);
}

function applyLimits(rate: StartRate, now: number): void {
	const requestsPerSecond = rate.isCold
		? Math.min(rate.namedRequestsPerSecond, rate.coldRequestsPerSecond)
		: rate.namedRequestsPerSecond;
	if (requestsPerSecond === rate.requestsPerSecond) {
		return;
	}

	const allowance = isLimited(rate) ? currentAllowance(rate, now) : 0;
	rate.requestsPerSecond = requestsPerSecond;
	rate.allowance = Math.min(allowance, largestAllowance(rate));
	rate.countedAt = now;
}

/**
 * Tells whether a request may start.
 *
 * @param rate the limit and what was used of it
 * @param now monotonic time in milliseconds
 * @returns whether the limit allows it
 */
export function mayStart(rate: StartRate, now: number): boolean {
	return !isLimited(rate) || currentAllowance(rate, now) >= 1 - roundingTolerance;
}

/**
 * Records a start, allowed or not.
 *
 * @param rate changed in place
 * @param now monotonic time in milliseconds
 */
export function recordStart(rate: StartRate, now: number): void {
	if (!isLimited(rate)) {
		return;
	}

	rate.allowance = currentAllowance(rate, now) - 1;
	rate.countedAt = now;
}

/**
 * Estimates when the limit allows a request to start.
 *
 * @param rate the limit and what was used of it
 * @param ahead requests that start before it
 * @param now monotonic time in milliseconds
 * @returns milliseconds from now; infinite if the server takes no requests
 */
export function estimateStartDelay(rate: StartRate, ahead: number, now: number): number {
	if (!isLimited(rate)) {
		return 0;
	}

	const missing = ahead + 1 - currentAllowance(rate, now);
	return missing <= roundingTolerance
		? 0
		: (missing / rate.requestsPerSecond) * millisecondsPerSecond;
}

function isLimited({requestsPerSecond}: StartRate): boolean {
	return requestsPerSecond !== Number.POSITIVE_INFINITY;
}

function currentAllowance(rate: StartRate, now: number): number {
	const grown = ((now - rate.countedAt) / millisecondsPerSecond) * rate.requestsPerSecond;
	return Math.min(rate.allowance + grown, largestAllowance(rate));
}

function largestAllowance({requestsPerSecond}: StartRate): number {
	return Math.max(1, requestsPerSecond * burstSeconds);
}
