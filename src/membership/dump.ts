/** State dump of membership. */
import {type MembershipState} from './state.js';

/**
 * Describes the whole state for the state dump.
 *
 * @param state the state
 * @returns the membership section of the dump
 */
export function createDump(state: MembershipState): Record<string, unknown> {
	const {roster, budget, rumourQueue} = state;
	return {
		self: state.self.member,
		isSettled: state.isSettled,
		isLeaving: state.leave !== undefined,
		localHealth: state.localHealth,
		memberCount: roster.records.size,
		peerCount: roster.peers.length,
		members: [...roster.records.values()].map(({member}) => member),
		suspicions: Object.fromEntries(state.suspicions),
		topics: Object.fromEntries(state.topics),
		proofs: Object.fromEntries(state.proofs),
		announcements: [...state.announcements].map(([id, {expiresAt}]) => ({id, expiresAt})),
		wantedServices: [...state.wantedServices],
		queuedRumours: rumourQueue.entries.size,
		queuedSyncJobs: state.syncJobs.length,
		budget: {
			bytesPerSecond: budget.bytesPerSecond,
			availableBytes: Math.floor(budget.tokens),
			spentBytes: budget.spentBytes,
		},
		counters: {...state.counters},
	};
}
