/** Concurrency limit of a stand-in server, with a bounded FIFO queue. */
export type Slots = {
	/** Acquires a slot, waiting if none is free; `false` immediately when the queue is full. */
	readonly acquire: () => Promise<boolean>;
	readonly release: () => void;
	readonly inUse: () => number;
	readonly waiting: () => number;
};

/**
 * @param slotCount maximum number of concurrent requests
 * @param queueLength maximum number of waiting requests
 * @returns the slots, all of them free
 */
export function createSlots(slotCount: number, queueLength: number): Slots {
	const queue: Array<(isAcquired: boolean) => void> = [];
	let used = 0;
	return {
		async acquire() {
			if (used < slotCount) {
				used += 1;
				return true;
			}

			if (queue.length >= queueLength) {
				return false;
			}

			return new Promise(resolve => {
				queue.push(resolve);
			});
		},
		release() {
			const next = queue.shift();
			if (next === undefined) {
				used -= 1;
				return;
			}

			next(true);
		},
		inUse: () => used,
		waiting: () => queue.length,
	};
}
