/**
 * The requests of one rank that wait for a slot. Callers take turns, and the requests of one
 * caller go by earliest deadline. All functions change the queue in place.
 */

/** A request that waits. */
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
	 * The waiting requests of each caller, latest deadline first. The order of the callers is
	 * the order of their turns.
	 */
	readonly callers: Map<string, WaitingRequest[]>;
	size: number;
};

/** @returns an empty queue */
export function createRankQueue(): RankQueue {
	return {callers: new Map(), size: 0};
}

/**
 * Adds a request to the queue of its caller.
 *
 * @param queue changed in place
 * @param caller whose turn the request takes
 * @param request the request
 */
export function enqueue(queue: RankQueue, caller: string, request: WaitingRequest): void {
	queue.size += 1;
	const waiting = queue.callers.get(caller);
	if (waiting === undefined) {
		queue.callers.set(caller, [request]);
		return;
	}

	let position = waiting.length;
	while (position > 0 && waiting[position - 1]!.deadlineAt <= request.deadlineAt) {
		position -= 1;
	}

	waiting.splice(position, 0, request);
}

/**
 * Takes the earliest deadline of the caller whose turn it is.
 *
 * @param queue changed in place
 * @returns the request, or undefined when the queue is empty
 */
export function dequeue(queue: RankQueue): WaitingRequest | undefined {
	const turn = queue.callers.entries().next().value;
	if (turn === undefined) {
		return undefined;
	}

	const [caller, waiting] = turn;
	const request = waiting.pop();
	queue.size -= 1;
	// Taken out and put back, the caller stands behind all others.
	queue.callers.delete(caller);
	if (waiting.length > 0) {
		queue.callers.set(caller, waiting);
	}

	return request;
}

/**
 * Takes the latest deadline of the caller that has most requests waiting.
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
 * Tells how many requests the caller with most of them has waiting.
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
 * Removes one request, wherever it stands.
 *
 * @param queue changed in place
 * @param caller whose turn the request takes
 * @param id the request
 * @returns whether it was waiting
 */
export function removeFromQueue(queue: RankQueue, caller: string, id: string): boolean {
	const waiting = queue.callers.get(caller);
	const position = waiting?.findIndex(request => request.id === id) ?? -1;
	if (waiting === undefined || position === -1) {
		return false;
	}

	waiting.splice(position, 1);
	queue.size -= 1;
	if (waiting.length === 0) {
		queue.callers.delete(caller);
	}

	return true;
}
