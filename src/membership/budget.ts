/** A token bucket over the bytes that a member sends. It never lends: an empty bucket sends nothing. */
export type ByteBudget = {
	readonly bytesPerSecond: number;
	readonly burstBytes: number;
	tokens: number;
	refilledAt: number;
	/** Bytes taken since the start. */
	spentBytes: number;
};

const millisecondsPerSecond = 1000;

/**
 * Creates a full bucket.
 *
 * @param bytesPerSecond bytes that flow in each second
 * @param burstBytes bytes that the bucket holds
 * @param now present time in milliseconds
 * @returns the bucket
 */
export function createByteBudget(
	bytesPerSecond: number,
	burstBytes: number,
	now: number,
): ByteBudget {
	return {bytesPerSecond, burstBytes, tokens: burstBytes, refilledAt: now, spentBytes: 0};
}

/**
 * Fills the bucket up to the present time. Updates the bucket in place.
 *
 * @param budget the bucket
 * @param now present time in milliseconds
 */
export function refillBudget(budget: ByteBudget, now: number): void {
	const elapsed = Math.max(0, now - budget.refilledAt);
	const earned = (elapsed * budget.bytesPerSecond) / millisecondsPerSecond;
	budget.tokens = Math.min(budget.burstBytes, budget.tokens + earned);
	budget.refilledAt = now;
}

/**
 * Takes bytes when the bucket holds them. Updates the bucket in place.
 *
 * @param budget the bucket
 * @param bytes bytes to send
 * @returns whether they may be sent
 */
export function spendBytes(budget: ByteBudget, bytes: number): boolean {
	if (bytes > budget.tokens) {
		return false;
	}

	budget.tokens -= bytes;
	budget.spentBytes += bytes;
	return true;
}
