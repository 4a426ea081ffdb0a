/** Assigns free slots to waiting requests. */
import {
	refusalReasons,
	type RefusalReason,
	type RefusedRequest,
	type SlotAssignment,
} from './decision.js';
import {estimateRetryAfter} from './estimate.js';
import {chargeDispatch, chooseRank} from './rank-scheduler.js';
import {dequeue} from './rank-queue.js';
import {countUsableSlots, type AdmissionState} from './state.js';

/**
 * Assigns every free slot to a waiting request.
 *
 * @param state changed in place
 * @param now monotonic time in milliseconds
 * @returns the waiting requests to dispatch and those that are too late
 */
export function assignSlots(state: AdmissionState, now: number): SlotAssignment {
	const dispatch: string[] = [];
	const refused: RefusedRequest[] = [];
	const slots = countUsableSlots(state);
	while (state.running.size < slots) {
		const freeSlots = slots - state.running.size;
		const rankIndex = chooseRank(
			state.ranks,
			state.serviceMilliseconds,
			freeSlots,
			slots,
		);
		const request =
			rankIndex === undefined ? undefined : dequeue(state.ranks[rankIndex]!.queue);
		if (rankIndex === undefined || request === undefined) {
			break;
		}

		state.waiting.delete(request.id);
		const reason = findLateness(
			request,
			state.ranks[rankIndex]!.serviceMilliseconds,
			now,
		);
		if (reason !== undefined) {
			refused.push(describeRefused(state, request.id, reason));
			continue;
		}

		chargeDispatch(state.ranks, rankIndex, state.serviceMilliseconds);
		state.running.set(request.id, {rank: request.rank});
		dispatch.push(request.id);
	}

	return {dispatch, refused};
}

/** Finds why a request can no longer be answered in time; undefined if it can. */
function findLateness(
	{deadlineAt}: {readonly deadlineAt: number},
	serviceMilliseconds: number,
	now: number,
): RefusalReason | undefined {
	if (deadlineAt <= now) {
		return refusalReasons.expired;
	}

	return now + serviceMilliseconds > deadlineAt ? refusalReasons.tooLate : undefined;
}

/**
 * Returns the key by which a request is queued within its rank: its caller, or one key for all
 * callers when fairness is off.
 *
 * @param state the gate's admission
 * @param request the request
 * @returns the fairness key
 */
export function fairnessKeyOf(
	state: AdmissionState,
	request: {readonly caller: string},
): string {
	return state.policy.admission.fairness ? request.caller : '';
}

/**
 * @param state the gate's admission
 * @param id the request
 * @param reason why it is refused
 * @returns the refusal with the pause before a retry
 */
export function describeRefused(
	state: AdmissionState,
	id: string,
	reason: RefusalReason,
): RefusedRequest {
	return {id, reason, retryAfterMilliseconds: estimateRetryAfter(state)};
}
