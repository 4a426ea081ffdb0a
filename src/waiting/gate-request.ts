/** A request as the gate's queue sees it, and the order in which requests leave the queue. */

/** A request that asks for a slot. */
export type GateRequest = {
	/** Unique among the requests of the gate. */
	readonly id: string;
	/** Urgency; 0 is the most urgent. */
	readonly rank: number;
	/** Name of its route, by which its duration is estimated. */
	readonly route: string;
	/** Whether a request that already runs waits for it. */
	readonly nested: boolean;
	/** Monotonic milliseconds. */
	readonly arrivedAt: number;
	/** Latency target of its route, in milliseconds. */
	readonly targetMilliseconds: number;
	/** Monotonic time by which an answer is worth most. */
	readonly targetAt: number;
	/** Monotonic time after which an answer is worth nothing. */
	readonly deadlineAt: number;
};

/**
 * Orders two waiting requests. Calls of running requests go first, since their loss wastes the
 * work of the request that made them; then what can still make its target, by rank; what will be
 * late yields to it. Within a rank the earlier target goes first.
 *
 * @param left one request
 * @param right another request
 * @param isOnTime whether a request that starts now makes its target
 * @returns negative when `left` goes first
 */
export function compareRequests(
	left: GateRequest,
	right: GateRequest,
	isOnTime: (work: GateRequest) => boolean,
): number {
	return (
		Number(right.nested) - Number(left.nested) ||
		Number(isOnTime(right)) - Number(isOnTime(left)) ||
		left.rank - right.rank ||
		left.targetAt - right.targetAt
	);
}
