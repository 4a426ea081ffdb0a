/**
 * A budget for extra attempts as a share of first attempts, used for retries and for hedges. Each
 * first attempt earns a share of one extra; unspent extras are kept up to a small stock, so that
 * a failure after quiet hours doesn't set off a burst.
 */
const initialExtras = 1;
const maximumExtras = 10;

export type ExtraAttemptBudget = {
	/** Extra attempts that may be made now; a fraction counts once it is whole. */
	extras: number;
};

/** @returns a budget with a first extra to spend */
export function createExtraAttemptBudget(): ExtraAttemptBudget {
	return {extras: initialExtras};
}

/**
 * Earns from a first attempt.
 *
 * @param budget changed in place
 * @param share extras that one first attempt earns, 0 to 1
 */
export function creditFirstAttempt(budget: ExtraAttemptBudget, share: number): void {
	budget.extras = Math.min(maximumExtras, budget.extras + share);
}

/**
 * Spends one extra attempt.
 *
 * @param budget changed in place
 * @returns whether there was one to spend
 */
export function trySpendExtraAttempt(budget: ExtraAttemptBudget): boolean {
	if (budget.extras < 1) {
		return false;
	}

	budget.extras -= 1;
	return true;
}
