/**
 * A budget for extra attempts as a share of first attempts, used for retries and for hedges. Each
 * first attempt earns a share of one extra; unspent extras are kept up to a small stock, so that
 * a failure after quiet hours doesn't set off a burst.
 */
const startingExtras = 1;
const largestStock = 10;

export type ShareBudget = {
	/** Extra attempts that may be made now; a fraction counts once it is whole. */
	extras: number;
};

/** @returns a budget with a first extra to spend */
export function createShareBudget(): ShareBudget {
	return {extras: startingExtras};
}

/**
 * Earns from a first attempt.
 *
 * @param budget changed in place
 * @param share extras that one first attempt earns, 0 to 1
 */
export function earnFromFirstAttempt(budget: ShareBudget, share: number): void {
	budget.extras = Math.min(largestStock, budget.extras + share);
}

/**
 * Spends one extra attempt.
 *
 * @param budget changed in place
 * @returns whether there was one to spend
 */
export function trySpendExtra(budget: ShareBudget): boolean {
	if (budget.extras < 1) {
		return false;
	}

	budget.extras -= 1;
	return true;
}
