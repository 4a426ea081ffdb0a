/**
 * When a node may serve: a configuration is applied, no version is pending, and the table has
 * answered, or several ready nodes in two failure domains where there are two. So a restarted
 * node among stale ones learns the newest version before it serves.
 */
import type {FollowerState, FleetView} from './follower-state.js';

type Fleet = Pick<FleetView, 'peerCount' | 'failureDomainCount'>;

/** Why a node is not ready. */
export const unreadinessReasons = {
	/** Neither the table nor enough ready nodes have answered yet. */
	answers: 'word',
	/** Enough answers came, and there is no configuration. */
	configuration: 'configuration',
	/** A reported version is not applied yet. */
	document: 'document',
} as const;

export type UnreadinessReason =
	(typeof unreadinessReasons)[keyof typeof unreadinessReasons];

/**
 * Finds why a node may not serve yet.
 *
 * @param state the follower
 * @param fleet the node's view of the fleet
 * @returns the reason, `undefined` for a node that is ready
 */
export function findUnreadinessReason(
	state: FollowerState,
	fleet: Fleet,
): UnreadinessReason | undefined {
	if (state.isReady) {
		return undefined;
	}

	if (!hasEnoughAnswers(state, fleet)) {
		return unreadinessReasons.answers;
	}

	if (state.pendingVersions.size > 0) {
		return unreadinessReasons.document;
	}

	return state.applied.byTeam.size === 0 ? unreadinessReasons.configuration : undefined;
}

/** Whether enough answers came since the start to know the newest versions. */
function hasEnoughAnswers(state: FollowerState, fleet: Fleet): boolean {
	if (state.hasStoreAnswered) {
		return true;
	}

	const domains = new Set(state.answeredPeers.values()).size;
	const neededPeers = Math.max(
		1,
		Math.min(state.parameters.requiredReadyPeers, fleet.peerCount),
	);
	const neededDomains = Math.min(2, fleet.failureDomainCount);
	return state.answeredPeers.size >= neededPeers && domains >= neededDomains;
}
