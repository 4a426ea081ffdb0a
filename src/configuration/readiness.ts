/**
 * When a node may serve: it holds a configuration, all that it heard of is in force, and it heard
 * from the table, or from several ready nodes in two failure domains where there are two. A node
 * with an empty memory among stale nodes thereby learns of the newest version before it serves.
 */
import type {FollowerState, Surroundings} from './follower-state.js';

type Fleet = Pick<Surroundings, 'peers' | 'failureDomains'>;

/** What a node that is not ready waits for. */
export const waits = {
	/** Neither the table nor enough ready nodes have answered yet. */
	word: 'word',
	/** The table has answered, and there is no configuration. */
	configuration: 'configuration',
	/** A version heard of is not in force here yet. */
	document: 'document',
} as const;

export type Wait = (typeof waits)[keyof typeof waits];

/**
 * Finds what a node waits for before it may serve.
 *
 * @param state the follower
 * @param fleet the fleet as the node sees it
 * @returns the wait, `undefined` for a node that is ready
 */
export function findWait(state: FollowerState, fleet: Fleet): Wait | undefined {
	if (state.isReady) {
		return undefined;
	}

	if (!hasHeardEnough(state, fleet)) {
		return waits.word;
	}

	if (state.heard.size > 0) {
		return waits.document;
	}

	return state.holding.byTeam.size === 0 ? waits.configuration : undefined;
}

/** Whether enough was heard since the start to know the newest versions. */
function hasHeardEnough(state: FollowerState, fleet: Fleet): boolean {
	if (state.hasStoreAnswered) {
		return true;
	}

	const domains = new Set(state.answeredPeers.values()).size;
	const neededPeers = Math.max(1, Math.min(state.parameters.startPeers, fleet.peers));
	const neededDomains = Math.min(2, fleet.failureDomains);
	return state.answeredPeers.size >= neededPeers && domains >= neededDomains;
}
