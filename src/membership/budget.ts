/** Token bucket that limits the bytes a node sends. It never goes negative. */
export type ByteBudget = {
	readonly bytesPerSecond: number;
	readonly burstBytes: number;
	tokens: number;
	refilledAt: number;
	/** Total bytes spent since the start. */
	spentBytes: number;
};

const millisecondsPerSecond = 1000;

/**
 * Creates a full bucket.
 *
 * @param bytesPerSecond refill rate
 * @param burstBytes capacity of the bucket
 * @param now current time in milliseconds
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
 * Refills the bucket for the time elapsed. Updates the bucket in place.
 *
 * @param budget the bucket
 * @param now current time in milliseconds
 */
export function refillBudget(budget: ByteBudget, now: number): void {
	const elapsed = Math.max(0, now - budget.refilledAt);
	const refill = (elapsed * budget.bytesPerSecond) / millisecondsPerSecond;
	budget.tokens = Math.min(budget.burstBytes, budget.tokens + refill);
	budget.refilledAt = now;
}

/**
 * Takes bytes from the bucket if it holds enough. Updates the bucket in place.
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
