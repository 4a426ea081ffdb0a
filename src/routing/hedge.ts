/**
 * When an idempotent call that has had no answer is sent to a second server as well: after a high
 * quantile of the service's recent latency, from a share of first attempts.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {type RoutingPolicy} from './policy.js';
import {
	createExtraAttemptBudget,
	trySpendExtraAttempt,
	type ExtraAttemptBudget,
} from './extra-attempt-budget.js';

const periodMilliseconds = 5000;
const minimumSamples = 100;
const microsecondsPerMillisecond = 1000;
const highestTrackableMicroseconds = 60_000_000;
const percent = 100;

/** The recent latency of one service and its budget for hedges. */
export type HedgingState = {
	readonly budget: ExtraAttemptBudget;
	/** Latencies in microseconds of the period that runs. */
	current: Histogram;
	/** Latencies in microseconds of the period before. */
	previous: Histogram;
	periodEndsAt: number;
	delayMilliseconds: number | undefined;
};

/** @returns hedging without any latency known, which hedges nothing */
export function createHedging(): HedgingState {
	return {
		budget: createExtraAttemptBudget(),
		current: createHistogram(),
		previous: createHistogram(),
		periodEndsAt: Number.NEGATIVE_INFINITY,
		delayMilliseconds: undefined,
	};
}

/**
 * Learns the latency of one good answer.
 *
 * @param hedging changed in place
 * @param latencyMilliseconds how long it took
 */
export function recordLatency(hedging: HedgingState, latencyMilliseconds: number): void {
	const microseconds = Math.round(latencyMilliseconds * microsecondsPerMillisecond);
	hedging.current.recordValue(
		Math.min(highestTrackableMicroseconds, Math.max(1, microseconds)),
	);
}

/**
 * Tells after which time without an answer a call may be hedged.
 *
 * @param hedging changed in place when a period ends
 * @param policy the routing part of the preset in force
 * @param now monotonic time in milliseconds
 * @returns milliseconds from sending, or undefined while too little is known
 */
export function findHedgeDelay(
	hedging: HedgingState,
	policy: RoutingPolicy,
	now: number,
): number | undefined {
	if (now >= hedging.periodEndsAt) {
		startPeriod(hedging, policy, now);
	}

	return hedging.delayMilliseconds;
}

/**
 * Decides on a hedge when its time has come, and spends it.
 *
 * @param hedging changed in place
 * @param isIdempotent whether the call may run twice
 * @returns whether to send the call to a second server
 */
export function tryHedge(hedging: HedgingState, isIdempotent: boolean): boolean {
	return isIdempotent && trySpendExtraAttempt(hedging.budget);
}

function startPeriod(hedging: HedgingState, policy: RoutingPolicy, now: number): void {
	const ended = hedging.current;
	hedging.periodEndsAt = now + periodMilliseconds;
	hedging.delayMilliseconds =
		ended.totalCount < minimumSamples
			? undefined
			: ended.getValueAtPercentile(policy.hedgeQuantile * percent) /
				microsecondsPerMillisecond;
	hedging.current = hedging.previous;
	hedging.previous = ended;
	hedging.current.reset();
}

function createHistogram(): Histogram {
	return build({
		highestTrackableValue: highestTrackableMicroseconds,
		numberOfSignificantValueDigits: 2,
		bitBucketSize: 32,
	});
}
