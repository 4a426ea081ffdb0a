/**
 * The budget of one node for measuring load. Every measuring byte counts: load headers on
 * answers, probes sent, replies to others' probes, and what others send here. Nothing is sent
 * that the budget doesn't cover in bytes and in processor time; at the bound measuring stops and
 * choices go by the node's own counts.
 */
import {
	createSpendingWindow,
	recordAmount,
	remainingNow,
	trySpendAmount,
	type SpendingWindow,
} from './window.js';

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

export type MeasuringMeter = {
	readonly bytes: SpendingWindow;
	readonly processorMicroseconds: SpendingWindow;
	/** Bytes since the start, for each use. */
	readonly totals: Record<MeasuringUse, number>;
	/** Steps that were left out since the start because the budget was spent. */
	refused: number;
};

/**
 * @param policy the measuring part of the preset in force
 * @returns a meter with nothing spent
 */
export function createMeasuringMeter(policy: MeasuringPolicy): MeasuringMeter {
	return {
		bytes: createSpendingWindow(policy.bytesPerSecond),
		processorMicroseconds: createSpendingWindow(
			policy.processorShare * microsecondsPerSecond,
		),
		totals: {answerHeader: 0, probe: 0, probeReply: 0, received: 0},
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
	meter: MeasuringMeter,
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
	meter: MeasuringMeter,
	use: MeasuringUse,
	cost: MeasuringCost,
	now: number,
): boolean {
	const processor = meter.processorMicroseconds;
	const isCovered =
		cost.processorMicroseconds <= remainingNow(processor, now) &&
		trySpendAmount(meter.bytes, cost.bytes, now);
	if (!isCovered) {
		meter.refused += 1;
		return false;
	}

	recordAmount(processor, cost.processorMicroseconds, now);
	meter.totals[use] += cost.bytes;
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
	meter: MeasuringMeter,
	cost: MeasuringCost,
	now: number,
): void {
	recordAmount(meter.bytes, cost.bytes, now);
	recordAmount(meter.processorMicroseconds, cost.processorMicroseconds, now);
	meter.totals.received += cost.bytes;
}
