/**
 * Limits how many retries may reach one server. The limit is set for a service as a whole, over a
 * sliding window; each gate keeps to its own part of it, so that the total over all gates stays
 * within the limit without coordination. A gate's count is exact, since every request to its
 * server passes it.
 *
 * Load pattern: servers that fail or shed part of their requests, where each retry adds to the
 * load that made the first attempt fail.
 */

/** The limit for a service as a whole. */
export type RetryPolicy = {
	/** Retries allowed for each first attempt. */
	readonly ratio: number;
	/** Retries allowed in addition in each window, over all gates of the service. */
	readonly slack: number;
	readonly windowMilliseconds: number;
};

/** The attempts that one gate has recently admitted. */
export type RetryBudget = {
	/** Monotonic times within the window, in milliseconds, oldest first; also of the retries. */
	readonly firstAttempts: number[];
	readonly retries: number[];
	/** Monotonic time from which on the attempts are known. */
	readonly knownSince: number;
};

/**
 * Share of the limit that is used. The rest covers requests made by retries, which are not refused,
 * and gates that join or leave meanwhile.
 */
const usedShare = 0.6;

/**
 * Creates a budget without recorded attempts.
 *
 * @param knownSince monotonic time of the gate's start; absent if it has never had any attempts
 * @returns the budget
 */
export function createRetryBudget(knownSince = Number.NEGATIVE_INFINITY): RetryBudget {
	return {firstAttempts: [], retries: [], knownSince};
}

/**
 * Records a first attempt.
 *
 * @param budget changed in place
 * @param policy the limit for the service
 * @param now monotonic time in milliseconds
 */
export function recordFirstAttempt(
	budget: RetryBudget,
	policy: RetryPolicy,
	now: number,
): void {
	dropBefore(budget, now - policy.windowMilliseconds);
	budget.firstAttempts.push(now);
}

/**
 * Records a retry, or a request made by one. The latter counts too, but is not refused for that: the work of
 * the request that made it would be lost.
 *
 * @param budget changed in place
 * @param policy the limit for the service
 * @param now monotonic time in milliseconds
 */
export function recordRetry(budget: RetryBudget, policy: RetryPolicy, now: number): void {
	dropBefore(budget, now - policy.windowMilliseconds);
	budget.retries.push(now);
}

/** What bounds the retries of one gate besides its own attempts. */
export type RetryShare = {
	/** Gates of the service that share the limit, this one included. */
	readonly gates: number;
	/** Retries that were admitted and are not recorded yet. */
	readonly reserved: number;
};

/**
 * Tells whether this gate's part of the limit allows one more retry.
 *
 * @param budget the gate's attempts; old ones are dropped
 * @param policy the limit for the service
 * @param share the gates that share the limit, and what is reserved of this gate's part
 * @param now monotonic time in milliseconds
 * @returns whether the retry may be admitted
 */
export function mayRetry(
	budget: RetryBudget,
	policy: RetryPolicy,
	{gates, reserved}: RetryShare,
	now: number,
): boolean {
	dropBefore(budget, now - policy.windowMilliseconds);
	const share = policy.slack / Math.max(1, gates);
	// An earlier life of the gate may have spent the slack of the window in which it ended.
	const isWholeWindowKnown = now - budget.knownSince >= policy.windowMilliseconds;
	const slack = isWholeWindowKnown ? share : Math.min(share, 1 / usedShare);
	const allowed = usedShare * (policy.ratio * budget.firstAttempts.length + slack);
	return budget.retries.length + reserved + 1 <= allowed;
}

function dropBefore(budget: RetryBudget, before: number): void {
	for (const times of [budget.firstAttempts, budget.retries]) {
		const firstKept = times.findIndex(time => time > before);
		times.splice(0, firstKept === -1 ? times.length : firstKept);
	}
}
