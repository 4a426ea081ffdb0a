/**
 * Estimates the wait of a request at a gate, from the requests before it and the rate at which
 * slots become free for its rank.
 */
import {countUsableSlots, type AdmissionState} from './state.js';

const minimumShare = 0.01;

/**
 * Estimates the wait of a request that would join the queue now.
 *
 * @param state the gate's admission
 * @param rankIndex the position of its rank, 0 for the most urgent
 * @param fairnessKey the fairness key of the request
 * @returns the wait in milliseconds, not counting its own service time
 */
export function estimateWait(
	state: AdmissionState,
	rankIndex: number,
	fairnessKey: string,
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
	const ownWaiting = queue.callers.get(fairnessKey)?.length ?? 0;
	const before = Math.min(queue.size, (ownWaiting + 1) * queue.callers.size);
	const share = Math.max(1 - moreUrgentShare, floorShare, minimumShare);
	const slotIntervalMilliseconds = state.serviceMilliseconds / slots;
	const byPriority = moreUrgentWaiting + (before + 1) / share;
	const byFloor = floorShare > 0 ? (before + 1) / floorShare : Number.POSITIVE_INFINITY;
	return slotIntervalMilliseconds * Math.min(byPriority, byFloor);
}

/**
 * Estimates when a refused caller should retry: once half of the waiting requests are served.
 *
 * @param state the gate's admission
 * @returns milliseconds from now, at least one
 */
export function estimateRetryAfter(state: AdmissionState): number {
	const slots = Math.max(1, countUsableSlots(state));
	const drainMilliseconds = (state.waiting.size * state.serviceMilliseconds) / slots;
	return Math.max(1, Math.ceil(drainMilliseconds / 2));
}
