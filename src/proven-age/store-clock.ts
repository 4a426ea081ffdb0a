/**
 * An upper bound of the present time of the table's steady clock. A question that was sent at local
 * time `s` and answered with the table's time `N` proves that the table's clock showed at most `N`
 * when the question was sent, so that it shows at most `N + (now - s)` now. The times of an older era
 * of the table cannot be compared with those of a newer one.
 */

/** Proves an upper bound of the table's clock. */
export type StoreExchange = {
	readonly era: number;
	/** Local time at which the question was sent, in milliseconds. */
	readonly sentAt: number;
	/** An upper bound of the table's time while the question was under way, in milliseconds. */
	readonly storeTime: number;
};

/** The tightest bound that is known, which is the exchange that proves it. */
export type StoreClockBound = StoreExchange;

/** By how much the clocks of a VM and of the table may differ in speed. */
const driftShare = 200e-6;

/**
 * Adds an exchange to a bound.
 *
 * @param bound the known bound, if any
 * @param exchange the exchange
 * @param now local time in milliseconds
 * @returns the tighter of both, or that of the newer era
 */
export function tightenBound(
	bound: StoreClockBound | undefined,
	exchange: StoreExchange,
	now: number,
): StoreClockBound {
	if (bound === undefined || exchange.era > bound.era) {
		return exchange;
	}

	const isTighter =
		exchange.era === bound.era && latestTime(exchange, now) < latestTime(bound, now);
	return isTighter ? exchange : bound;
}

/**
 * Returns the latest time that the table's clock can show.
 *
 * @param bound the bound
 * @param now local time in milliseconds
 * @returns the table's time in milliseconds
 */
export function latestTime({storeTime, sentAt}: StoreClockBound, now: number): number {
	return storeTime + (now - sentAt) * (1 + driftShare);
}
