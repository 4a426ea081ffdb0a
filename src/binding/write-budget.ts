/**
 * Limits the rate at which binding writes to the platform's table, by a token bucket. The table
 * takes several hundred writes per second from the whole fleet, and configuration needs some of
 * them. A node starts with its share; the rate is increased additively per successful write and
 * halved on failure, so that a few busy nodes can use what the others leave.
 */

export type WriteBudgetLimits = {
	/** Limit for the whole fleet. */
	readonly fleetWritesPerSecond: number;
	/** Nodes that share the limit. */
	readonly members: number;
};

/** Owned by one task; updated in place. */
export type WriteBudget = {
	readonly limits: WriteBudgetLimits;
	writesPerSecond: number;
	tokens: number;
	/** Monotonic milliseconds. */
	updatedAt: number;
};

export const defaultFleetWritesPerSecond = 200;
const increasePerWrite = 0.05;
const minimumBurstTokens = 1;
const minimumWritesPerSecond = 0.01;
const millisecondsPerSecond = 1000;

/**
 * Creates a budget.
 *
 * @param limits limit of the fleet and number of nodes
 * @param now monotonic milliseconds
 * @returns a budget with a full bucket, at least one write
 */
export function createWriteBudget(limits: WriteBudgetLimits, now: number): WriteBudget {
	const writesPerSecond = Math.max(
		minimumWritesPerSecond,
		limits.fleetWritesPerSecond / Math.max(1, limits.members),
	);
	return {limits, writesPerSecond, tokens: burstTokens(writesPerSecond), updatedAt: now};
}

/**
 * Takes the token for one write.
 *
 * @param budget updated in place
 * @param now monotonic milliseconds
 * @returns 0 if a token was taken, else milliseconds until one is available
 */
export function takeWriteToken(budget: WriteBudget, now: number): number {
	const refill =
		(Math.max(0, now - budget.updatedAt) * budget.writesPerSecond) /
		millisecondsPerSecond;
	budget.tokens = Math.min(burstTokens(budget.writesPerSecond), budget.tokens + refill);
	budget.updatedAt = Math.max(now, budget.updatedAt);
	if (budget.tokens >= 1) {
		budget.tokens -= 1;
		return 0;
	}

	return Math.ceil(
		((1 - budget.tokens) * millisecondsPerSecond) / budget.writesPerSecond,
	);
}

/**
 * Adapts the rate to the result of a write.
 *
 * @param budget updated in place
 * @param succeeded false if the table refused the write or did not answer in time
 */
export function recordWriteResult(budget: WriteBudget, succeeded: boolean): void {
	const rate = succeeded
		? budget.writesPerSecond + increasePerWrite
		: budget.writesPerSecond / 2;
	budget.writesPerSecond = Math.min(
		budget.limits.fleetWritesPerSecond,
		Math.max(minimumWritesPerSecond, rate),
	);
}

/** Size of the bucket: the writes of a tenth of a second, but at least one. */
function burstTokens(writesPerSecond: number): number {
	return Math.max(minimumBurstTokens, writesPerSecond / 10);
}
