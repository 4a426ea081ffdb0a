/**
 * The queue of one rank: callers are served round robin, and the requests of one caller by
 * earliest deadline. All functions change the queue in place.
 */

/** A request that waits for a slot. */
export type WaitingRequest = {
	readonly id: string;
	readonly rank: string;
	readonly caller: string;
	/** Monotonic time in milliseconds; infinite without a deadline. */
	readonly deadlineAt: number;
	readonly serviceMilliseconds: number;
};

export type RankQueue = {
	/**
	 * The waiting requests by fairness key, latest deadline first. Callers are served in the order
	 * of the map.
	 */
	readonly callers: Map<string, WaitingRequest[]>;
	size: number;
};

/** @returns an empty queue */
export function createRankQueue(): RankQueue {
	return {callers: new Map(), size: 0};
}

/**
 * Adds a request to those of its caller, ordered by deadline.
 *
 * @param queue changed in place
 * @param fairnessKey the fairness key of the request
 * @param request the request
 */
export function enqueue(
	queue: RankQueue,
	fairnessKey: string,
	request: WaitingRequest,
): void {
	queue.size += 1;
	const waiting = queue.callers.get(fairnessKey);
	if (waiting === undefined) {
		queue.callers.set(fairnessKey, [request]);
		return;
	}

	let position = waiting.length;
	while (position > 0 && waiting[position - 1]!.deadlineAt <= request.deadlineAt) {
		position -= 1;
	}

	waiting.splice(position, 0, request);
}

/**
 * Takes the request with the earliest deadline of the caller that is next.
 *
 * @param queue changed in place
 * @returns the request, or undefined when the queue is empty
 */
export function dequeue(queue: RankQueue): WaitingRequest | undefined {
	const next = queue.callers.entries().next().value;
	if (next === undefined) {
		return undefined;
	}

	const [caller, waiting] = next;
	const request = waiting.pop();
	queue.size -= 1;
	// Deleted and set again, the caller moves to the end of the map.
	queue.callers.delete(caller);
	if (waiting.length > 0) {
		queue.callers.set(caller, waiting);
	}

	return request;
}

/**
 * Drops the request with the latest deadline of the caller with the most waiting requests.
 *
 * @param queue changed in place
 * @returns the request, or undefined when the queue is empty
 */
export function dropFromLongest(queue: RankQueue): WaitingRequest | undefined {
	let longestCaller: string | undefined;
	let longest: WaitingRequest[] = [];
	for (const [caller, waiting] of queue.callers) {
		if (waiting.length > longest.length) {
			longestCaller = caller;
			longest = waiting;
		}
	}

	if (longestCaller === undefined) {
		return undefined;
	}

	const request = longest.shift();
	queue.size -= 1;
	if (longest.length === 0) {
		queue.callers.delete(longestCaller);
	}

	return request;
}

/**
 * Counts the requests of the caller with the most waiting requests.
 *
 * @param queue the queue
 * @returns the count, 0 for an empty queue
 */
export function countLongest(queue: RankQueue): number {
	let count = 0;
	for (const waiting of queue.callers.values()) {
		count = Math.max(count, waiting.length);
	}

	return count;
}

/**
 * Removes one request at any position.
 *
 * @param queue changed in place
 * @param fairnessKey the fairness key of the request
 * @param id the request
 * @returns whether it was waiting
 */
export function removeFromQueue(
	queue: RankQueue,
	fairnessKey: string,
	id: string,
): boolean {
	const waiting = queue.callers.get(fairnessKey);
	const position = waiting?.findIndex(request => request.id === id) ?? -1;
	if (waiting === undefined || position === -1) {
		return false;
	}

	waiting.splice(position, 1);
	queue.size -= 1;
	if (waiting.length === 0) {
		queue.callers.delete(fairnessKey);
	}

	return true;
}
