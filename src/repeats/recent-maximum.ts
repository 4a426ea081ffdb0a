/** The largest of the values that were recently seen, in constant space. */

/** Maxima of the current period and of the one before. */
export type RecentMaximum = {
	periodStart: number;
	current: number;
	previous: number;
};

/** @returns a maximum without values */
export function createRecentMaximum(): RecentMaximum {
	return {periodStart: Number.NEGATIVE_INFINITY, current: 0, previous: 0};
}

/**
 * Records a value.
 *
 * @param maximum changed in place
 * @param value the value
 * @param period how long a value counts at least, in milliseconds; at most twice as long
 * @param now monotonic time in milliseconds
 * @returns the largest recent value, this one included
 */
export function recordMaximum(
	maximum: RecentMaximum,
	value: number,
	period: number,
	now: number,
): number {
	const age = now - maximum.periodStart;
	if (age >= period) {
		maximum.previous = age < 2 * period ? maximum.current : 0;
		maximum.current = 0;
		maximum.periodStart = now;
	}

	maximum.current = Math.max(maximum.current, value);
	return Math.max(maximum.current, maximum.previous);
}
