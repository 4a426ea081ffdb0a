/**
 * A sliding-window rate limiter: limits an amount in every window of one second, wherever the
 * window starts. The second is kept as a ring of buckets; an amount is granted only if it and all
 * that was spent in the buckets that a window ending now can touch stay within the limit. A token
 * bucket would allow its burst and a second's refill in one window.
 */
const windowMilliseconds = 1000;
const bucketMilliseconds = 25;
/** A window that starts inside a bucket touches one more bucket than it is long. */
const bucketCount = windowMilliseconds / bucketMilliseconds + 1;

export type RateLimiter = {
	/** Amount that may be spent in any second. */
	limitPerSecond: number;
	readonly buckets: Float64Array;
	/** Number of the newest bucket since time zero. */
	newestBucket: number;
	/** Sum of all buckets. */
	spent: number;
};

/**
 * @param limitPerSecond amount that may be spent in any second
 * @returns a limiter with nothing spent
 */
export function createRateLimiter(limitPerSecond: number): RateLimiter {
	return {
		limitPerSecond,
		buckets: new Float64Array(bucketCount),
		newestBucket: Number.NEGATIVE_INFINITY,
		spent: 0,
	};
}

/**
 * Returns how much can be spent at once now.
 *
 * @param limiter advanced to the present in place
 * @param now monotonic time in milliseconds
 * @returns the amount, never negative
 */
export function remainingAllowance(limiter: RateLimiter, now: number): number {
	advanceTo(limiter, now);
	return Math.max(0, limiter.limitPerSecond - limiter.spent);
}

/**
 * Spends an amount if the limit allows it.
 *
 * @param limiter changed in place
 * @param amount what to spend
 * @param now monotonic time in milliseconds
 * @returns whether it was spent
 */
export function tryAcquire(limiter: RateLimiter, amount: number, now: number): boolean {
	if (amount > remainingAllowance(limiter, now)) {
		return false;
	}

	recordUsage(limiter, amount, now);
	return true;
}

/**
 * Records an amount that was spent already, whether or not the limit allowed it.
 *
 * @param limiter changed in place
 * @param amount what was spent
 * @param now monotonic time in milliseconds
 */
export function recordUsage(limiter: RateLimiter, amount: number, now: number): void {
	advanceTo(limiter, now);
	const index = limiter.newestBucket % bucketCount;
	limiter.buckets[index]! += amount;
	limiter.spent += amount;
}

function advanceTo(limiter: RateLimiter, now: number): void {
	const bucket = Math.floor(now / bucketMilliseconds);
	if (bucket <= limiter.newestBucket) {
		return;
	}

	if (bucket - limiter.newestBucket >= bucketCount) {
		limiter.buckets.fill(0);
		limiter.spent = 0;
		limiter.newestBucket = bucket;
		return;
	}

	while (limiter.newestBucket < bucket) {
		limiter.newestBucket += 1;
		limiter.buckets[limiter.newestBucket % bucketCount] = 0;
	}

	// Summed again each time, so that rounding errors do not accumulate.
	limiter.spent = 0;
	for (const amount of limiter.buckets) {
		limiter.spent += amount;
	}
}
