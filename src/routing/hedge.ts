/**
 * Hedging: an idempotent call that is still unanswered after a high quantile of the service's
 * recent latency is also sent to a second server. Hedges are limited to a share of first attempts.
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

/** The recent latency of one service and its hedge budget. */
export type HedgingState = {
	readonly budget: ExtraAttemptBudget;
	/** Latencies of the current period, in microseconds. */
	current: Histogram;
	/** Latencies of the previous period, in microseconds. */
	previous: Histogram;
	periodEndsAt: number;
	delayMilliseconds: number | undefined;
};

/** @returns a state without latencies, for which `findHedgeDelay` returns undefined */
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
 * Records the latency of one successful response.
 *
 * @param hedging changed in place
 * @param latencyMilliseconds the latency
 */
export function recordLatency(hedging: HedgingState, latencyMilliseconds: number): void {
	const microseconds = Math.round(latencyMilliseconds * microsecondsPerMillisecond);
	hedging.current.recordValue(
		Math.min(highestTrackableMicroseconds, Math.max(1, microseconds)),
	);
}

/**
 * Finds the time without a response after which a call may be hedged.
 *
 * @param hedging changed in place when a period ends
 * @param policy the routing part of the active preset
 * @param now monotonic time in milliseconds
 * @returns milliseconds since sending, or undefined while there are too few samples
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
 * Spends a hedge if the call may be hedged and the budget allows it.
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
