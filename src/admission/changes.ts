/** What changes a gate's admission from outside: another preset, other slots. */
import {changeSlots} from './concurrency.js';
import {type Turn} from './decision.js';
import {findRankIndex, type GatePolicy} from './policy.js';
import {enqueue} from './rank-queue.js';
import {createRankStates, type AdmissionState} from './state.js';
import {takeTurns, turnOf} from './turns.js';

/**
 * Puts another preset in force. What waits keeps waiting, under the ranks of the new preset.
 *
 * @param state changed in place
 * @param policy the part of the preset that a gate needs
 */
export function changePolicy(state: AdmissionState, policy: GatePolicy): void {
	const before = new Map(state.ranks.map(rank => [rank.name, rank]));
	state.policy = policy;
	state.ranks = createRankStates(policy);
	for (const rank of state.ranks) {
		const known = before.get(rank.name);
		rank.serviceMilliseconds = known?.serviceMilliseconds ?? state.serviceMilliseconds;
		rank.recentShare = known?.recentShare ?? 0;
	}

	for (const request of state.waiting.values()) {
		const rankIndex = findRankIndex(policy.ranks, request.rank);
		enqueue(state.ranks[rankIndex]!.queue, turnOf(state, request), request);
	}
}

/**
 * Takes over the slots that the server announces.
 *
 * @param state changed in place
 * @param slots requests that the server runs at once; zero when it is gone
 * @param now monotonic time in milliseconds
 * @returns the waiting requests to dispatch and those that are too late
 */
export function announceSlots(state: AdmissionState, slots: number, now: number): Turn {
	changeSlots(state.concurrency, slots);
	return takeTurns(state, now);
}
