/**
 * Decides when membership next has work that no packet triggers, so that a node without news wakes
 * only for its probes and its sync.
 */
import {type MembershipState} from './state.js';

/**
 * Computes when the next tick is due.
 *
 * @param state the state
 * @param now current time in monotonic milliseconds
 * @returns monotonic milliseconds, not before `now`; at most the maximum tick interval later
 */
export function nextTickAt(state: MembershipState, now: number): number {
	const {parameters, leave} = state;
	const isSending = state.syncJobs.length > 0 || (leave !== undefined && !leave.isDone);
	const latest =
		now +
		(isSending
			? parameters.tickIntervalMilliseconds
			: parameters.maximumTickIntervalMilliseconds);
	const dueAt = Math.min(
		latest,
		probeDueAt(state),
		state.nextSyncAt,
		state.roster.deadSince.size > 0 ? state.nextReconnectAt : latest,
		state.nextSeedContactAt,
		state.isSettled ? latest : state.settleAt,
		state.rumourQueue.entries.size > 0 ? state.nextGossipAt : latest,
		firstDeadline(state.suspicions.values()),
		firstDeadline(state.relayedProbes.values()),
	);
	return Math.max(now, dueAt);
}

function probeDueAt({probe, nextProbeAt}: MembershipState): number {
	if (probe === undefined) {
		return nextProbeAt;
	}

	return probe.isIndirect ? probe.deadline : Math.min(probe.indirectAt, probe.deadline);
}

function firstDeadline(entries: Iterable<{readonly deadline: number}>): number {
	let first = Number.POSITIVE_INFINITY;
	for (const {deadline} of entries) {
		first = Math.min(first, deadline);
	}

	return first;
}
