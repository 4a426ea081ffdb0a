/**
 * Admission of requests to a server. A request is dispatched, queued or refused, and a request
 * that ends frees its slot for a waiting one. All functions change the state in place and return
 * what the gate has to do. Every request offered is settled exactly once: by a dispatch, a refusal
 * or a cancellation.
 */
import {updateLimit} from './concurrency-limit.js';
import {
	offerKinds,
	refusalReasons,
	type OfferResult,
	type RefusalReason,
	type RefusedRequest,
	type SlotAssignment,
} from './decision.js';
import {estimateRetryAfter, estimateWait} from './estimate.js';
import {chargeDispatch, countReservedSlots, recordServiceTime} from './rank-scheduler.js';
import {findRankIndex} from './policy.js';
import {findRankToDisplace} from './displacement.js';
import {
	dropFromLongest,
	enqueue,
	removeFromQueue,
	type WaitingRequest,
} from './rank-queue.js';
import {queueCapacity, countUsableSlots, type AdmissionState} from './state.js';
import {describeRefused, assignSlots, fairnessKeyOf} from './slot-assignment.js';

const meanServiceWeight = 0.05;
const dispatchOffer: OfferResult = {kind: offerKinds.dispatch};
const queuedOffer: OfferResult = {kind: offerKinds.queued, displaced: undefined};

/** A request that asks for a slot. */
export type AdmissionRequest = {
	/** Unique among the requests of the gate. */
	readonly id: string;
	/** Name of its rank; an unknown rank counts as the least urgent. */
	readonly rank: string;
	/** Who sent it; callers within a rank are served in turn. */
	readonly caller: string;
	/** Monotonic time in milliseconds; infinite without a deadline. */
	readonly deadlineAt: number;
	/** Expected service time; by default the moving average of the rank. */
	readonly serviceMilliseconds?: number;
};

/** How a request ended at the server. */
export type RequestEnd = {
	/** Time from the dispatch to the end. */
	readonly serviceMilliseconds: number;
	/** Whether the server shed it because of its load. */
	readonly shed?: boolean;
	/** Whether it was cut short or failed, so that its time does not show the server's speed. */
	readonly partial?: boolean;
};

/**
 * Offers a request to the gate.
 *
 * @param state changed in place
 * @param request the request
 * @param now monotonic time in milliseconds
 * @returns whether to dispatch it now, queue it or refuse it
 */
export function offer(
	state: AdmissionState,
	request: AdmissionRequest,
	now: number,
): OfferResult {
	if (state.running.has(request.id) || state.waiting.has(request.id)) {
		return refuse(state, refusalReasons.duplicate);
	}

	if (request.deadlineAt <= now) {
		return refuse(state, refusalReasons.expired);
	}

	const rankIndex = findRankIndex(state.policy.ranks, request.rank);
	if (canStart(state, rankIndex)) {
		chargeDispatch(state.ranks, rankIndex, state.serviceMilliseconds);
		state.running.set(request.id, {rank: request.rank});
		return dispatchOffer;
	}

	return offerToQueue(state, request, now);
}

/**
 * Ends a request that was dispatched and assigns its slot to a waiting one.
 *
 * @param state changed in place
 * @param id the request
 * @param end how it ended
 * @param now monotonic time in milliseconds
 * @returns the waiting requests to dispatch and those that are too late
 */
export function release(
	state: AdmissionState,
	id: string,
	end: RequestEnd,
	now: number,
): SlotAssignment {
	const running = state.running.get(id);
	if (running === undefined) {
		return assignSlots(state, now);
	}

	updateLimit(state.concurrency, state.running.size, end.shed === true, now);
	state.running.delete(id);
	if (end.shed !== true && end.partial !== true) {
		const rankIndex = findRankIndex(state.policy.ranks, running.rank);
		recordServiceTime(state.ranks[rankIndex]!, end.serviceMilliseconds);
		state.serviceMilliseconds +=
			(end.serviceMilliseconds - state.serviceMilliseconds) * meanServiceWeight;
	}

	return assignSlots(state, now);
}

/**
 * Cancels a request that may still be waiting.
 *
 * @param state changed in place
 * @param id the request
 * @returns whether it was still queued; if so, it is never dispatched
 */
export function cancel(state: AdmissionState, id: string): boolean {
	const request = state.waiting.get(id);
	if (request === undefined) {
		return false;
	}

	const rankIndex = findRankIndex(state.policy.ranks, request.rank);
	removeFromQueue(state.ranks[rankIndex]!.queue, fairnessKeyOf(state, request), id);
	state.waiting.delete(id);
	return true;
}

/**
 * Refuses the waiting requests whose deadline has passed.
 *
 * @param state changed in place
 * @param now monotonic time in milliseconds
 * @returns the requests to refuse
 */
export function expire(state: AdmissionState, now: number): RefusedRequest[] {
	const refused: RefusedRequest[] = [];
	for (const request of state.waiting.values()) {
		if (request.deadlineAt <= now) {
			cancel(state, request.id);
			refused.push(describeRefused(state, request.id, refusalReasons.expired));
		}
	}

	return refused;
}

/** A request starts at once if nothing as urgent waits and the reserved slots stay free. */
function canStart(state: AdmissionState, rankIndex: number): boolean {
	const slots = countUsableSlots(state);
	const freeSlots = slots - state.running.size;
	if (freeSlots <= 0) {
		return false;
	}

	for (let index = 0; index <= rankIndex; index += 1) {
		if (state.ranks[index]!.queue.size > 0) {
			return false;
		}
	}

	return freeSlots > countReservedSlots(state.ranks, rankIndex, slots);
}

function offerToQueue(
	state: AdmissionState,
	request: AdmissionRequest,
	now: number,
): OfferResult {
	const rankIndex = findRankIndex(state.policy.ranks, request.rank);
	const rank = state.ranks[rankIndex]!;
	const serviceMilliseconds = request.serviceMilliseconds ?? rank.serviceMilliseconds;
	const fairnessKey = fairnessKeyOf(state, request);
	const finishAt =
		now + estimateWait(state, rankIndex, fairnessKey) + serviceMilliseconds;
	if (finishAt > request.deadlineAt) {
		return refuse(state, refusalReasons.tooLate);
	}

	let displaced: RefusedRequest | undefined;
	if (state.waiting.size >= queueCapacity(state)) {
		const rankToDisplace = findRankToDisplace(state, rankIndex, fairnessKey);
		const dropped = rankToDisplace && dropFromLongest(rankToDisplace.queue);
		if (dropped === undefined) {
			return refuse(state, refusalReasons.queueFull);
		}

		state.waiting.delete(dropped.id);
		displaced = describeRefused(state, dropped.id, refusalReasons.displaced);
	}

	const waiting: WaitingRequest = {...request, serviceMilliseconds};
	state.waiting.set(request.id, waiting);
	enqueue(rank.queue, fairnessKey, waiting);
	return displaced === undefined ? queuedOffer : {kind: offerKinds.queued, displaced};
}

function refuse(state: AdmissionState, reason: RefusalReason): OfferResult {
	return {
		kind: offerKinds.refused,
		reason,
		retryAfterMilliseconds: estimateRetryAfter(state),
	};
}
