/**
 * A bound on an amount in every window of one second, wherever the window starts. The second is
 * kept as a ring of cells; an amount is granted only if it and all that was spent in the cells
 * that a window ending now can touch stay within the bound. A token bucket would let its burst
 * and a second's refill fall into one window.
 */
const windowMilliseconds = 1000;
const cellMilliseconds = 25;
/** A window that starts inside a cell touches one cell more than it is long. */
const cellCount = windowMilliseconds / cellMilliseconds + 1;

export type RateLimiter = {
	/** Amount that may be spent in any second. */
	limitPerSecond: number;
	readonly buckets: Float64Array;
	/** Number of the newest cell since time zero. */
	newestBucket: number;
	/** Sum of all cells. */
	spent: number;
};

/**
 * @param limitPerSecond amount that may be spent in any second
 * @returns a window with nothing spent
 */
export function createRateLimiter(limitPerSecond: number): RateLimiter {
	return {
		limitPerSecond,
		buckets: new Float64Array(cellCount),
		newestBucket: Number.NEGATIVE_INFINITY,
		spent: 0,
	};
}

/**
 * Tells how much can be spent at once now.
 *
 * @param window moved to the present in place
 * @param now monotonic time in milliseconds
 * @returns the amount, never negative
 */
export function remainingAllowance(window: RateLimiter, now: number): number {
	moveTo(window, now);
	return Math.max(0, window.limitPerSecond - window.spent);
}

/**
 * Spends an amount if the bound allows it.
 *
 * @param window changed in place
 * @param amount what to spend
 * @param now monotonic time in milliseconds
 * @returns whether it was spent
 */
export function tryAcquire(window: RateLimiter, amount: number, now: number): boolean {
	if (amount > remainingAllowance(window, now)) {
		return false;
	}

	recordUsage(window, amount, now);
	return true;
}

/**
 * Records an amount that was spent already, whether or not the bound allowed it.
 *
 * @param window changed in place
 * @param amount what was spent
 * @param now monotonic time in milliseconds
 */
export function recordUsage(window: RateLimiter, amount: number, now: number): void {
	moveTo(window, now);
	const index = window.newestBucket % cellCount;
	window.buckets[index]! += amount;
	window.spent += amount;
}

function moveTo(window: RateLimiter, now: number): void {
	const cell = Math.floor(now / cellMilliseconds);
	if (cell <= window.newestBucket) {
		return;
	}

	if (cell - window.newestBucket >= cellCount) {
		window.buckets.fill(0);
		window.spent = 0;
		window.newestBucket = cell;
		return;
	}

	while (window.newestBucket < cell) {
		window.newestBucket += 1;
		window.buckets[window.newestBucket % cellCount] = 0;
	}

	// Summed anew, so that rounding never adds up over a long run.
	window.spent = 0;
	for (const amount of window.buckets) {
		window.spent += amount;
	}
}
