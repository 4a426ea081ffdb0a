/**
 * How many requests a gate lets run at once. Never more than the server announced; fewer while
 * the server sheds: each shed request lowers the limit by a factor, each served one raises it by
 * a fraction of a slot.
 */
const decreaseFactor = 0.8;
const decreasePauseMilliseconds = 20;
const increasePerRoundSlots = 0.5;
const smallestLimit = 1;

export type ConcurrencyLimit = {
	/** Requests that the server announced to run at once. */
	slots: number;
	/** Requests that may run at once now; a fraction counts once it is whole. */
	limit: number;
	/** Monotonic time in milliseconds before which the limit isn't lowered again. */
	nextDecreaseAt: number;
};

/**
 * @param slots requests that the server announced to run at once
 * @returns a limit at the announced slots
 */
export function createConcurrencyLimit(slots: number): ConcurrencyLimit {
	return {slots, limit: slots, nextDecreaseAt: Number.NEGATIVE_INFINITY};
}

/**
 * Learns from one answer.
 *
 * @param limit changed in place
 * @param inFlight requests that ran when the answer came, this one included
 * @param shed whether the server refused the request for its load
 * @param now monotonic time in milliseconds
 */
export function updateLimit(
	limit: ConcurrencyLimit,
	inFlight: number,
	shed: boolean,
	now: number,
): void {
	if (!shed) {
		limit.limit = Math.min(
			limit.slots,
			limit.limit + increasePerRoundSlots / Math.max(limit.limit, smallestLimit),
		);
		return;
	}

	if (now < limit.nextDecreaseAt) {
		return;
	}

	// What ran when the server shed is the evidence; a limit above it would shed again.
	const evidence = Math.min(limit.limit, inFlight);
	const lowest = Math.min(smallestLimit, limit.slots);
	limit.limit = Math.max(lowest, evidence * decreaseFactor);
	limit.nextDecreaseAt = now + decreasePauseMilliseconds;
}

/**
 * Takes over a new announcement of the server.
 *
 * @param limit changed in place
 * @param slots requests that the server announced to run at once
 */
export function updateSlots(limit: ConcurrencyLimit, slots: number): void {
	const wasWhole = limit.limit >= limit.slots;
	limit.slots = slots;
	limit.limit = wasWhole ? slots : Math.min(limit.limit, slots);
}
