/**
 * Round trips between this node's failure domain and others, learned from the answers to load
 * queries, late answers included. Time-outs follow from the estimate and its deviation, as the
 * retransmission time-out of TCP does.
 *
 * Load pattern: regions that are a few or many milliseconds apart, and links that become slow
 * under load. A fixed time-out takes each gate of a distant region for silent.
 */

/** Running estimate of a round trip, in milliseconds. */
export type RoundTripEstimate = {
	/** Undefined until the first answer. */
	smoothed: number | undefined;
	/** Mean deviation from the smoothed round trip. */
	deviation: number;
};

/** Limits on a time-out, in milliseconds. */
export type TimeoutBounds = {
	readonly minimum: number;
	readonly maximum: number;
	/** Time-out while no answer has come yet. */
	readonly first: number;
};

const smoothedWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviationFactor = 4;
/** Allowance for the timers and queues of both nodes. */
const minimumSlackMilliseconds = 10;
/** One sample counts as at most this multiple of the expected bound, so that a pause is no distance. */
const sampleLimitFactor = 2;

/** @returns an estimate without samples */
export function createRoundTripEstimate(): RoundTripEstimate {
	return {smoothed: undefined, deviation: 0};
}

/**
 * Records the round trip of an answer, also of one that came after its time-out.
 *
 * @param estimate changed in place
 * @param milliseconds time from the query to its answer
 */
export function recordRoundTrip(estimate: RoundTripEstimate, milliseconds: number): void {
	if (estimate.smoothed === undefined) {
		estimate.smoothed = milliseconds;
		estimate.deviation = milliseconds / 2;
		return;
	}

	const limit = sampleLimitFactor * findBound(estimate.smoothed, estimate.deviation);
	const sample = Math.min(milliseconds, limit);
	const difference = sample - estimate.smoothed;
	estimate.deviation += (Math.abs(difference) - estimate.deviation) * deviationWeight;
	estimate.smoothed += difference * smoothedWeight;
}

/**
 * Chooses how long to wait for an answer.
 *
 * @param estimate the round trip
 * @param bounds limits on the time-out
 * @returns milliseconds
 */
export function chooseAnswerTimeout(
	{smoothed, deviation}: RoundTripEstimate,
	bounds: TimeoutBounds,
): number {
	return smoothed === undefined
		? bounds.first
		: Math.min(bounds.maximum, Math.max(bounds.minimum, findBound(smoothed, deviation)));
}

function findBound(smoothed: number, deviation: number): number {
	return smoothed + Math.max(deviationFactor * deviation, minimumSlackMilliseconds);
}
