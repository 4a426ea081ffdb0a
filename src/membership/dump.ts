/** The dump of membership: what this node knows, and what it has done. */
import {type MembershipState} from './state.js';

/**
 * Describes the whole state.
 *
 * @param state the state
 * @returns a document for the state dump
 */
export function createDump(state: MembershipState): Record<string, unknown> {
	const {roster, budget, rumourQueue: broadcast} = state;
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
		announcements: [...state.announcements].map(([id, {expiresAt}]) => ({id, expiresAt})),
		wantedServices: [...state.wantedServices],
		queuedRumours: broadcast.entries.size,
		queuedSyncJobs: state.syncJobs.length,
		budget: {
			bytesPerSecond: budget.bytesPerSecond,
			availableBytes: Math.floor(budget.tokens),
			spentBytes: budget.spentBytes,
		},
		counters: {...state.counters},
	};
}
