/** The slots of a stand-in server, with a bounded first-in first-out queue before them. */
export type Slots = {
	/** Takes a slot, waiting for one if need be; `false` at once when the queue is full. */
	readonly acquire: () => Promise<boolean>;
	readonly release: () => void;
	readonly inUse: () => number;
	readonly waiting: () => number;
};

/**
 * @param slotCount requests that run at once
 * @param queueLength requests that may wait
 * @returns the slots, all of them free
 */
export function createSlots(slotCount: number, queueLength: number): Slots {
	const queue: Array<(isHeld: boolean) => void> = [];
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
