/**
 * Moments by two clocks. The monotonic clock may not count the time for which a VM was suspended;
 * the wall clock may jump. Whatever must not outlive its time ages by the clock that shows more.
 */

/** A moment by both clocks, in milliseconds. */
export type Moment = {readonly monotonic: number; readonly wallClock: number};

/**
 * Computes the time between two moments.
 *
 * @param from the earlier moment
 * @param to the later moment
 * @returns milliseconds, by the clock that shows more
 */
export function elapsedBetween(from: Moment, to: Moment): number {
	return Math.max(to.monotonic - from.monotonic, to.wallClock - from.wallClock);
}
