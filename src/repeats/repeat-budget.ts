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
export type RepeatPolicy = {
	/** Repeats allowed for each first sending. */
	readonly ratio: number;
	/** Repeats allowed besides, over all gates of the service. */
	readonly slack: number;
	readonly windowMilliseconds: number;
};

/** What one gate has let through of late. */
export type RepeatBudget = {
	/** Monotonic times of first sendings and of repeats within the window, oldest first. */
	readonly firsts: number[];
	readonly repeats: number[];
};

/**
 * Part of the stated bound that is used. The rest covers calls made by repeated requests, which
 * count as repeats at the services that they call, and gates that join or leave meanwhile.
 */
const usedShare = 0.6;

/** @returns a budget with nothing counted */
export function createRepeatBudget(): RepeatBudget {
	return {firsts: [], repeats: []};
}

/**
 * Counts a first sending.
 *
 * @param budget changed in place
 * @param policy the bound for the service
 * @param now monotonic time in milliseconds
 */
export function countFirst(
	budget: RepeatBudget,
	policy: RepeatPolicy,
	now: number,
): void {
	forget(budget, now - policy.windowMilliseconds);
	budget.firsts.push(now);
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
export function trySpendRepeat(
	budget: RepeatBudget,
	policy: RepeatPolicy,
	gates: number,
	now: number,
): boolean {
	forget(budget, now - policy.windowMilliseconds);
	const allowed =
		usedShare * (policy.ratio * budget.firsts.length + policy.slack / Math.max(1, gates));
	if (budget.repeats.length + 1 > allowed) {
		return false;
	}

	budget.repeats.push(now);
	return true;
}

function forget(budget: RepeatBudget, before: number): void {
	for (const times of [budget.firsts, budget.repeats]) {
		const kept = times.findIndex(time => time > before);
		times.splice(0, kept === -1 ? times.length : kept);
	}
}
