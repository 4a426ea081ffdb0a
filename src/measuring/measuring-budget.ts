/**
 * The budget of one node for measuring load. Every measuring byte counts: load headers on
 * answers, probes sent, replies to others' probes, and what others send here. Nothing is sent
 * that the budget doesn't cover in bytes and in processor time; at the bound measuring stops and
 * choices go by the node's own counts.
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
	/** Steps that were left out since the start because the budget was spent. */
	refused: number;
};

/**
 * @param policy the measuring part of the preset in force
 * @returns a meter with nothing spent
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
 * Puts another preset in force. What was spent in the present second still counts.
 *
 * @param meter changed in place
 * @param policy the measuring part of the preset
 */
export function changeMeasuringPolicy(
	meter: MeasuringBudget,
	policy: MeasuringPolicy,
): void {
	meter.bytes.limitPerSecond = policy.bytesPerSecond;
	meter.processorMicroseconds.limitPerSecond =
		policy.processorShare * microsecondsPerSecond;
}

/**
 * Asks to spend on one measuring step. A probe asks for its own bytes and for those of the reply
 * that it causes.
 *
 * @param meter changed in place
 * @param use what for
 * @param cost upper bound of what it costs
 * @param now monotonic time in milliseconds
 * @returns whether the step may be taken; if not, leave it out
 */
export function trySpend(
	meter: MeasuringBudget,
	use: MeasuringUse,
	cost: MeasuringCost,
	now: number,
): boolean {
	const processor = meter.processorMicroseconds;
	const isCovered =
		cost.processorMicroseconds <= remainingAllowance(processor, now) &&
		tryAcquire(meter.bytes, cost.bytes, now);
	if (!isCovered) {
		meter.refused += 1;
		return false;
	}

	recordUsage(processor, cost.processorMicroseconds, now);
	meter.bytesByUse[use] += cost.bytes;
	return true;
}

/**
 * Counts what others sent here unasked. It can't be refused any more, so it is taken from what
 * this node may still send.
 *
 * @param meter changed in place
 * @param cost what it cost
 * @param now monotonic time in milliseconds
 */
export function recordReceived(
	meter: MeasuringBudget,
	cost: MeasuringCost,
	now: number,
): void {
	recordUsage(meter.bytes, cost.bytes, now);
	recordUsage(meter.processorMicroseconds, cost.processorMicroseconds, now);
	meter.bytesByUse.received += cost.bytes;
}
