/** Applies another preset or another number of slots to a gate's admission. */
import {updateSlots} from './concurrency-limit.js';
import {type SlotAssignment} from './decision.js';
import {findRankIndex, type GatePolicy} from './policy.js';
import {enqueue} from './rank-queue.js';
import {createRankStates, type AdmissionState} from './state.js';
import {assignSlots, fairnessKeyOf} from './slot-assignment.js';

/**
 * Activates another preset. Waiting requests keep waiting, under the ranks of the new preset.
 *
 * @param state changed in place
 * @param policy the part of the preset that a gate needs
 */
export function changePolicy(state: AdmissionState, policy: GatePolicy): void {
	const previousRanks = new Map(state.ranks.map(rank => [rank.name, rank]));
	state.policy = policy;
	state.ranks = createRankStates(policy);
	for (const rank of state.ranks) {
		const previous = previousRanks.get(rank.name);
		rank.serviceMilliseconds = previous?.serviceMilliseconds ?? state.serviceMilliseconds;
		rank.recentShare = previous?.recentShare ?? 0;
	}

	for (const request of state.waiting.values()) {
		const rankIndex = findRankIndex(policy.ranks, request.rank);
		enqueue(state.ranks[rankIndex]!.queue, fairnessKeyOf(state, request), request);
	}
}

/**
 * Sets the slots that the server announces.
 *
 * @param state changed in place
 * @param slots concurrent requests that the server accepts; zero when there is no server
 * @param now monotonic time in milliseconds
 * @returns the waiting requests to dispatch and those that are too late
 */
export function changeSlots(
	state: AdmissionState,
	slots: number,
	now: number,
): SlotAssignment {
	updateSlots(state.concurrency, slots);
	return assignSlots(state, now);
}
