/**
 * Paces what an allocator grants: at once the burst and then the rate, or the mean rate of the window,
 * whichever allows more.
 *
 * Load pattern: a team that suddenly sends several times its cap. Without a pace it would use up its
 * window within a second, and all its callers would be refused until the window has moved on.
 */
import type {GrantTerms} from './limits.js';

export type Pace = {
	/** Tokens left of the burst, and of what the mean rate allows; negative after the other's use. */
	burst: number;
	mean: number;
	/** Monotonic time of the last refill. */
	refilledAt: number;
};

/** What the mean rate may save up, as a share of the limit. */
const meanBurstShare = 0.05;

/**
 * Computes how many tokens the pace allows.
 *
 * @param pace the pace, refilled in place
 * @param terms the burst and the rates
 * @param now monotonic milliseconds
 */
export function refillPace(pace: Pace, terms: GrantTerms, now: number): number {
	const elapsed = Math.max(0, now - pace.refilledAt);
	const meanBurst = terms.limit * meanBurstShare + 1;
	pace.refilledAt = Math.max(now, pace.refilledAt);
	pace.burst = Math.min(terms.burst, pace.burst + elapsed * terms.perMillisecond);
	pace.mean = Math.min(meanBurst, pace.mean + elapsed * terms.meanPerMillisecond);
	return Math.max(pace.burst, pace.mean);
}

/**
 * Counts granted tokens; a negative number for returned ones.
 *
 * @param pace the pace, changed in place
 * @param count number of tokens
 */
export function spendPace(pace: Pace, count: number): void {
	pace.burst -= count;
	pace.mean -= count;
}

/**
 * Computes when the pace allows a token.
 *
 * @param pace the pace
 * @param terms the burst and the rates
 * @returns milliseconds from the last refill
 */
export function timeUntilPace(pace: Pace, terms: GrantTerms): number {
	const byBurst = (1 - pace.burst) / terms.perMillisecond;
	const byMean = (1 - pace.mean) / terms.meanPerMillisecond;
	return Math.max(0, Math.min(byBurst, byMean));
}
