/**
 * Bounds the writes that binding makes in the platform's table. The table takes several hundred
 * writes a second from the whole fleet, and configuration needs room among them. A node starts
 * with its share, raises its rate slowly while the table answers, and halves it when a write
 * fails, so that a few busy nodes can use what the others leave.
 */

export type WriteBudgetLimits = {
	/** Writes a second for the whole fleet. */
	readonly fleetWritesPerSecond: number;
	/** Nodes that share them. */
	readonly members: number;
};

/** Owned by one task; updated in place. */
export type WriteBudget = {
	readonly limits: WriteBudgetLimits;
	writesPerSecond: number;
	tokens: number;
	/** Milliseconds, monotonic. */
	updatedAt: number;
};

export const defaultFleetWritesPerSecond = 200;
const raisePerWrite = 0.05;
const fewestTokensAtFull = 1;
const lowestWritesPerSecond = 0.01;
const millisecondsPerSecond = 1000;

/**
 * Creates a budget.
 *
 * @param limits what the fleet may write
 * @param now milliseconds, monotonic
 * @returns a budget with one write at hand
 */
export function createWriteBudget(limits: WriteBudgetLimits, now: number): WriteBudget {
	const writesPerSecond = Math.max(
		lowestWritesPerSecond,
		limits.fleetWritesPerSecond / Math.max(1, limits.members),
	);
	return {limits, writesPerSecond, tokens: fullTokens(writesPerSecond), updatedAt: now};
}

/**
 * Takes one write from the budget.
 *
 * @param budget updated in place
 * @param now milliseconds, monotonic
 * @returns zero when it was taken, else milliseconds until one is at hand
 */
export function takeWriteToken(budget: WriteBudget, now: number): number {
	const earned =
		(Math.max(0, now - budget.updatedAt) * budget.writesPerSecond) /
		millisecondsPerSecond;
	budget.tokens = Math.min(fullTokens(budget.writesPerSecond), budget.tokens + earned);
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
 * Learns from a write.
 *
 * @param budget updated in place
 * @param succeeded false when the table refused it or gave no answer in time
 */
export function recordWriteResult(budget: WriteBudget, succeeded: boolean): void {
	const rate = succeeded
		? budget.writesPerSecond + raisePerWrite
		: budget.writesPerSecond / 2;
	budget.writesPerSecond = Math.min(
		budget.limits.fleetWritesPerSecond,
		Math.max(lowestWritesPerSecond, rate),
	);
}

/** A tenth of a second's writes may come at once. */
function fullTokens(writesPerSecond: number): number {
	return Math.max(fewestTokensAtFull, writesPerSecond / 10);
}
