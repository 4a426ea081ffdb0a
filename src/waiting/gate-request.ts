/** A request as the gate's queue sees it, and the order in which requests leave the queue. */

/** Share of the nominal duration that has to fit before the deadline. */
export const requiredDurationShare = 0.6;

/** A request that asks for a slot. */
export type GateRequest = {
	/** Unique among the requests of the gate. */
	readonly id: string;
	/** Urgency; 0 is the most urgent. */
	readonly rank: number;
	/** Name of its route, by which its duration is estimated. */
	readonly route: string;
	/** Whether it was made by a request that already runs and waits for it. */
	readonly nested: boolean;
	/** Monotonic time in milliseconds. */
	readonly arrivedAt: number;
	/** Latency target of its route, in milliseconds. */
	readonly targetMilliseconds: number;
	/** Monotonic time of the latency target. */
	readonly targetAt: number;
	/** Monotonic time after which a response is of no use. */
	readonly deadlineAt: number;
	/** Whether it may run only while nothing else does; absent if that never holds. */
	readonly mustRunAlone?: () => boolean;
};

/**
 * Orders two waiting requests. Nested requests go first, since refusing one wastes the work of
 * the request that made it; then requests that can still meet their latency target, then the
 * others. Each of these groups is ordered by rank, and within a rank by latency target.
 *
 * @param left one request
 * @param right another request
 * @param isOnTime whether a request that starts now meets its target
 * @returns negative when `left` goes first
 */
export function compareRequests(
	left: GateRequest,
	right: GateRequest,
	isOnTime: (request: GateRequest) => boolean,
): number {
	return (
		Number(right.nested) - Number(left.nested) ||
		Number(isOnTime(right)) - Number(isOnTime(left)) ||
		left.rank - right.rank ||
		left.targetAt - right.targetAt
	);
}
