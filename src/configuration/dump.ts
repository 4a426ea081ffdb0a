/** The configuration part of a node's state dump. */
import type {FollowerState, FleetView} from './follower-state.js';
import {findUnreadinessReason} from './readiness.js';

/**
 * Converts the state of a follower to plain values for the dump.
 *
 * @param state the follower
 * @param fleet the node's view of the fleet
 */
export function describeFollower(
	state: FollowerState,
	fleet: FleetView,
): Record<string, unknown> {
	return {
		isReady: state.isReady,
		waitsFor: findUnreadinessReason(state, fleet),
		digest: state.applied.digest,
		documents: [...state.applied.byTeam.values()].map(
			({team, version, changeId, document, appliedAt}) => ({
				team,
				version,
				changeId,
				inForce: document.inForce,
				appliedAt: new Date(appliedAt).toISOString(),
			}),
		),
		heard: Object.fromEntries(state.pendingVersions),
		fetching: [...state.fetching],
		answeredPeers: Object.fromEntries(state.answeredPeers),
		hasStoreAnswered: state.hasStoreAnswered,
		isPoller: fleet.isPoller,
		peers: fleet.peerCount,
		counters: {...state.counters},
	};
}
