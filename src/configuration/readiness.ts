/**
 * When a node may serve: it holds a configuration, all that it heard of is in force, and it heard
 * from the table, or from several ready nodes in two failure domains where there are two. A node
 * with an empty memory among stale nodes thereby learns of the newest version before it serves.
 */
import type {FollowerState, FleetView} from './follower-state.js';

type Fleet = Pick<FleetView, 'peers' | 'failureDomains'>;

/** What a node that is not ready waits for. */
export const unreadinessReasons = {
	/** Neither the table nor enough ready nodes have answered yet. */
	answers: 'word',
	/** The table has answered, and there is no configuration. */
	configuration: 'configuration',
	/** A version heard of is not in force here yet. */
	document: 'document',
} as const;

export type UnreadinessReason =
	(typeof unreadinessReasons)[keyof typeof unreadinessReasons];

/**
 * Finds what a node waits for before it may serve.
 *
 * @param state the follower
 * @param fleet the fleet as the node sees it
 * @returns the wait, `undefined` for a node that is ready
 */
export function findUnreadinessReason(
	state: FollowerState,
	fleet: Fleet,
): UnreadinessReason | undefined {
	if (state.isReady) {
		return undefined;
	}

	if (!hasHeardEnough(state, fleet)) {
		return unreadinessReasons.answers;
	}

	if (state.pendingVersions.size > 0) {
		return unreadinessReasons.document;
	}

	return state.applied.byTeam.size === 0 ? unreadinessReasons.configuration : undefined;
}

/** Whether enough was heard since the start to know the newest versions. */
function hasHeardEnough(state: FollowerState, fleet: Fleet): boolean {
	if (state.hasStoreAnswered) {
		return true;
	}

	const domains = new Set(state.answeredPeers.values()).size;
	const neededPeers = Math.max(
		1,
		Math.min(state.parameters.requiredReadyPeers, fleet.peers),
	);
	const neededDomains = Math.min(2, fleet.failureDomains);
	return state.answeredPeers.size >= neededPeers && domains >= neededDomains;
}
