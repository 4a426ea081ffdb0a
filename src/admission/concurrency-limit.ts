/**
 * Limits how many requests of a gate run concurrently, by additive increase and multiplicative
 * decrease. The limit is never above the slots that the server announced; each shed request lowers
 * it by a factor, each served one raises it by a fraction of a slot.
 */
const decreaseFactor = 0.8;
const decreasePauseMilliseconds = 20;
const increasePerRoundSlots = 0.5;
const minimumLimit = 1;

export type ConcurrencyLimit = {
	/** Concurrent requests that the server accepts, as it announced. */
	slots: number;
	/** Requests that may run concurrently now; rounded down when used. */
	limit: number;
	/** Monotonic time in milliseconds before which the limit is not lowered again. */
	nextDecreaseAt: number;
};

/**
 * @param slots concurrent requests that the server accepts, as it announced
 * @returns a limit at the announced slots
 */
export function createConcurrencyLimit(slots: number): ConcurrencyLimit {
	return {slots, limit: slots, nextDecreaseAt: Number.NEGATIVE_INFINITY};
}

/**
 * Adjusts the limit after one response.
 *
 * @param limit changed in place
 * @param inFlight requests that ran when the response came, this one included
 * @param shed whether the server shed the request because of its load
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
			limit.limit + increasePerRoundSlots / Math.max(limit.limit, minimumLimit),
		);
		return;
	}

	if (now < limit.nextDecreaseAt) {
		return;
	}

	// The server shed at this number of requests; a limit above it would cause more shedding.
	const shedAt = Math.min(limit.limit, inFlight);
	const minimum = Math.min(minimumLimit, limit.slots);
	limit.limit = Math.max(minimum, shedAt * decreaseFactor);
	limit.nextDecreaseAt = now + decreasePauseMilliseconds;
}

/**
 * Sets the slots that the server announces.
 *
 * @param limit changed in place
 * @param slots concurrent requests that the server accepts, as it announced
 */
export function updateSlots(limit: ConcurrencyLimit, slots: number): void {
	const wasAtSlots = limit.limit >= limit.slots;
	limit.slots = slots;
	limit.limit = wasAtSlots ? slots : Math.min(limit.limit, slots);
}
