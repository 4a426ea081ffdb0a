/**
 * How long a request would wait at a gate, from what waits before it and how fast slots come
 * free for its rank.
 */
import {countUsableSlots, type AdmissionState} from './state.js';

const smallestShare = 0.01;

/**
 * Estimates the wait of a request that would join the queue now.
 *
 * @param state the gate's admission
 * @param rankIndex the position of its rank, 0 for the most urgent
 * @param caller whose turn it would take
 * @returns the wait in milliseconds, not counting its own service time
 */
export function estimateWait(
	state: AdmissionState,
	rankIndex: number,
	caller: string,
): number {
	const slots = countUsableSlots(state);
	if (slots === 0) {
		return Number.POSITIVE_INFINITY;
	}

	let moreUrgentWaiting = 0;
	let moreUrgentShare = 0;
	for (let index = 0; index < rankIndex; index += 1) {
		const rank = state.ranks[index]!;
		moreUrgentWaiting += rank.queue.size;
		moreUrgentShare += rank.recentShare;
	}

	const {queue, floorShare} = state.ranks[rankIndex]!;
	const own = queue.callers.get(caller)?.length ?? 0;
	const before = Math.min(queue.size, (own + 1) * queue.callers.size);
	const share = Math.max(1 - moreUrgentShare, floorShare, smallestShare);
	const slotEveryMilliseconds = state.serviceMilliseconds / slots;
	const byStrictness = moreUrgentWaiting + (before + 1) / share;
	const byFloor = floorShare > 0 ? (before + 1) / floorShare : Number.POSITIVE_INFINITY;
	return slotEveryMilliseconds * Math.min(byStrictness, byFloor);
}

/**
 * Tells a refused caller when a new try makes sense: when half of what waits has gone.
 *
 * @param state the gate's admission
 * @returns milliseconds from now, at least one
 */
export function estimateRetryAfter(state: AdmissionState): number {
	const slots = Math.max(1, countUsableSlots(state));
	const drain = (state.waiting.size * state.serviceMilliseconds) / slots;
	return Math.max(1, Math.ceil(drain / 2));
}
