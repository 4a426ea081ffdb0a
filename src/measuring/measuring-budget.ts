/**
 * The budget of one node for measuring load. Every measuring byte counts: load headers on
 * responses, probes, replies to the probes of other nodes, and what other nodes send here. Nothing
 * is sent that the budget does not cover in bytes and in processor time; at the limit measuring
 * stops, and choices are based on the node's own counts.
 */
import {
	createRateLimiter,
	recordUsage,
	remainingAllowance,
	tryAcquire,
	type RateLimiter,
} from './rate-limiter.js';

const microsecondsPerSecond = 1_000_000;

/** What a preset allows for measuring. */
export type MeasuringPolicy = {
	/** Measuring bytes that a node may send or receive in any second. */
	readonly bytesPerSecond: number;
	/** Share of one core, 0 to 1, that a node may spend on measuring in any second. */
	readonly processorShare: number;
};

/** What measuring bytes are spent on. */
export const measuringUses = {
	answerHeader: 'answerHeader',
	probe: 'probe',
	probeReply: 'probeReply',
	received: 'received',
} as const;

export type MeasuringUse = (typeof measuringUses)[keyof typeof measuringUses];

/** What one measuring step costs. */
export type MeasuringCost = {
	readonly bytes: number;
	readonly processorMicroseconds: number;
};

export type MeasuringBudget = {
	readonly bytes: RateLimiter;
	readonly processorMicroseconds: RateLimiter;
	/** Bytes since the start, for each use. */
	readonly bytesByUse: Record<MeasuringUse, number>;
	/** Steps refused since the start because the budget was spent. */
	refused: number;
};

/**
 * @param policy the measuring part of the active preset
 * @returns an unspent budget
 */
export function createMeasuringBudget(policy: MeasuringPolicy): MeasuringBudget {
	return {
		bytes: createRateLimiter(policy.bytesPerSecond),
		processorMicroseconds: createRateLimiter(
			policy.processorShare * microsecondsPerSecond,
		),
		bytesByUse: {answerHeader: 0, probe: 0, probeReply: 0, received: 0},
		refused: 0,
	};
}

/**
 * Activates another preset. What was spent in the current second still counts.
 *
 * @param budget changed in place
 * @param policy the measuring part of the preset
 */
export function changeMeasuringPolicy(
	budget: MeasuringBudget,
	policy: MeasuringPolicy,
): void {
	budget.bytes.limitPerSecond = policy.bytesPerSecond;
	budget.processorMicroseconds.limitPerSecond =
		policy.processorShare * microsecondsPerSecond;
}

/**
 * Spends on one measuring step if the budget covers it. A probe is charged with its own bytes and
 * those of the reply that it causes.
 *
 * @param budget changed in place
 * @param use the kind of step
 * @param cost upper bound of the cost
 * @param now monotonic time in milliseconds
 * @returns whether the step may be taken; if not, skip it
 */
export function trySpend(
	budget: MeasuringBudget,
	use: MeasuringUse,
	cost: MeasuringCost,
	now: number,
): boolean {
	const processor = budget.processorMicroseconds;
	const isCovered =
		cost.processorMicroseconds <= remainingAllowance(processor, now) &&
		tryAcquire(budget.bytes, cost.bytes, now);
	if (!isCovered) {
		budget.refused += 1;
		return false;
	}

	recordUsage(processor, cost.processorMicroseconds, now);
	budget.bytesByUse[use] += cost.bytes;
	return true;
}

/**
 * Records the cost of what other nodes sent here. It cannot be refused any more, so it reduces
 * what this node may still send.
 *
 * @param budget changed in place
 * @param cost the cost
 * @param now monotonic time in milliseconds
 */
export function recordReceived(
	budget: MeasuringBudget,
	cost: MeasuringCost,
	now: number,
): void {
	recordUsage(budget.bytes, cost.bytes, now);
	recordUsage(budget.processorMicroseconds, cost.processorMicroseconds, now);
	budget.bytesByUse.received += cost.bytes;
}
