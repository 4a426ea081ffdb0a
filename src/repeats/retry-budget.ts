/**
 * How many requests beyond the first sendings may reach one server. The bound is stated for a
 * service as a whole, over a sliding window; each gate keeps to its own part of it, so that the
 * sum over all gates holds without any of them asking another. A gate counts exactly, since every
 * request to its server passes it.
 *
 * Load pattern: servers that fail or shed part of their requests, where each repeat adds to the
 * load that made the first one fail.
 */

/** The bound for a service as a whole. */
export type RetryPolicy = {
	/** Repeats allowed for each first sending. */
	readonly ratio: number;
	/** Repeats allowed besides, over all gates of the service. */
	readonly slack: number;
	readonly windowMilliseconds: number;
};

/** What one gate has let through of late. */
export type RetryBudget = {
	/** Monotonic times of first sendings and of repeats within the window, oldest first. */
	readonly firstAttempts: number[];
	readonly retries: number[];
};

/**
 * Part of the stated bound that is used. The rest covers calls made by repeated requests, which
 * count as repeats at the services that they call, and gates that join or leave meanwhile.
 */
const usedShare = 0.6;

/** @returns a budget with nothing counted */
export function createRetryBudget(): RetryBudget {
	return {firstAttempts: [], retries: []};
}

/**
 * Counts a first sending.
 *
 * @param budget changed in place
 * @param policy the bound for the service
 * @param now monotonic time in milliseconds
 */
export function recordFirstAttempt(
	budget: RetryBudget,
	policy: RetryPolicy,
	now: number,
): void {
	forget(budget, now - policy.windowMilliseconds);
	budget.firstAttempts.push(now);
}

/**
 * Spends one repeat, if this gate's part of the bound has room for it.
 *
 * @param budget changed in place
 * @param policy the bound for the service
 * @param gates gates of the service that share the bound, this one included
 * @param now monotonic time in milliseconds
 * @returns whether the repeat may pass
 */
export function trySpendRetry(
	budget: RetryBudget,
	policy: RetryPolicy,
	gates: number,
	now: number,
): boolean {
	forget(budget, now - policy.windowMilliseconds);
	const allowed =
		usedShare *
		(policy.ratio * budget.firstAttempts.length + policy.slack / Math.max(1, gates));
	if (budget.retries.length + 1 > allowed) {
		return false;
	}

	budget.retries.push(now);
	return true;
}

function forget(budget: RetryBudget, before: number): void {
	for (const times of [budget.firstAttempts, budget.retries]) {
		const kept = times.findIndex(time => time > before);
		times.splice(0, kept === -1 ? times.length : kept);
	}
}
