/** What a dump of a node's state shows of its configuration. */
import type {FollowerState, FleetView} from './follower-state.js';
import {findUnreadinessReason} from './readiness.js';

/**
 * Describes a follower in plain values.
 *
 * @param state the follower
 * @param around the fleet as the node sees it
 */
export function describeFollower(
	state: FollowerState,
	around: FleetView,
): Record<string, unknown> {
	return {
		isReady: state.isReady,
		waitsFor: findUnreadinessReason(state, around),
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
		isPoller: around.isPoller,
		peers: around.peers,
		counters: {...state.counters},
	};
}
