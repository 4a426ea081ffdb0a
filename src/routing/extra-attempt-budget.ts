/**
 * A budget of extra attempts as a share of first attempts, used for retries and for hedges. Each
 * first attempt adds a fraction of one extra attempt. Unspent extras are kept only up to a small
 * maximum, so that a failure after a quiet period does not cause a burst of them.
 */
const initialExtras = 1;
const maximumExtras = 10;

export type ExtraAttemptBudget = {
	/** Extra attempts available now; only whole ones can be spent. */
	extras: number;
};

/** @returns a budget with one extra attempt available */
export function createExtraAttemptBudget(): ExtraAttemptBudget {
	return {extras: initialExtras};
}

/**
 * Adds the share of a first attempt to the budget.
 *
 * @param budget changed in place
 * @param share extra attempts added per first attempt, 0 to 1
 */
export function creditFirstAttempt(budget: ExtraAttemptBudget, share: number): void {
	budget.extras = Math.min(maximumExtras, budget.extras + share);
}

/**
 * Spends one extra attempt.
 *
 * @param budget changed in place
 * @returns whether one was available
 */
export function trySpendExtraAttempt(budget: ExtraAttemptBudget): boolean {
	if (budget.extras < 1) {
		return false;
	}

	budget.extras -= 1;
	return true;
}
