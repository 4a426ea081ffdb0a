/** A priority queue of timed events, for simulations. */

export type TimedEvent = {
	/** Simulated time in milliseconds. */
	readonly at: number;
	readonly run: () => void;
};

/** A binary heap; the earliest event comes first. */
export type EventQueue = TimedEvent[];

/**
 * @param queue modified in place
 * @param event the event to add
 */
export function addEvent(queue: EventQueue, event: TimedEvent): void {
	let child = queue.length;
	queue.push(event);
	while (child > 0) {
		const parent = Math.floor((child - 1) / 2);
		if (queue[parent]!.at <= event.at) {
			break;
		}

		queue[child] = queue[parent]!;
		child = parent;
	}

	queue[child] = event;
}

/**
 * @param queue modified in place
 * @returns the earliest event, or `undefined` if the queue is empty
 */
export function takeEvent(queue: EventQueue): TimedEvent | undefined {
	const first = queue[0];
	const last = queue.pop();
	if (first === undefined || last === undefined || queue.length === 0) {
		return first;
	}

	let parent = 0;
	for (;;) {
		let child = parent * 2 + 1;
		if (child >= queue.length) {
			break;
		}

		if (child + 1 < queue.length && queue[child + 1]!.at < queue[child]!.at) {
			child += 1;
		}

		if (queue[child]!.at >= last.at) {
			break;
		}

		queue[parent] = queue[child]!;
		parent = child;
	}

	queue[parent] = last;
	return first;
}
