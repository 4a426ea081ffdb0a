/**
 * Serves versions and documents to other nodes. A request for a version that is still pending at
 * this node waits for it up to `maximumWaitMilliseconds`, so that documents spread along with the
 * gossip without a retry.
 */
import {
	ConfigurationPeerService,
	type ConfigurationPeerServer,
	type FetchReply,
} from '../generated/configuration.js';
import type {FollowerState} from './follower-state.js';
import {getAppliedVersion, listHeads} from './applied-documents.js';

const maximumWaitMilliseconds = 1000;
const maximumWaitingRequests = 256;

export type PeerService = {
	/** RPC service for the control listener. */
	readonly service: {
		readonly definition: typeof ConfigurationPeerService;
		readonly implementation: ConfigurationPeerServer;
	};
	/** Answers the requests that wait for the team's document, after it was applied. */
	readonly answerWaiting: (team: string) => void;
};

/**
 * Creates the service.
 *
 * @param state the follower; only read
 */
export function createPeerService(state: FollowerState): PeerService {
	const waiting = new Map<string, Set<() => void>>();
	let waitingCount = 0;

	const waitFor = (team: string, answer: () => void): void => {
		const callbacks = waiting.get(team) ?? new Set();
		const finish = (): void => {
			clearTimeout(timer);
			callbacks.delete(finish);
			waitingCount -= 1;
			answer();
		};

		const timer = setTimeout(finish, maximumWaitMilliseconds);
		waitingCount += 1;
		callbacks.add(finish);
		waiting.set(team, callbacks);
	};

	const implementation: ConfigurationPeerServer = {
		compare(call, callback) {
			const {digest} = state.applied;
			const heads = call.request.digest === digest ? [] : listHeads(state.applied);
			callback(null, {ready: state.isReady, digest, heads});
		},
		fetch(call, callback) {
			const {team, version} = call.request;
			const answer = (): void => {
				callback(null, toFetchReply(state, team));
			};

			const isPending = (state.pendingVersions.get(team)?.version ?? 0) >= version;
			const mustWait = getAppliedVersion(state.applied, team) < version && isPending;
			if (mustWait && waitingCount < maximumWaitingRequests) {
				waitFor(team, answer);
				return;
			}

			answer();
		},
	};
	return {
		service: {definition: ConfigurationPeerService, implementation},
		answerWaiting(team) {
			for (const finish of waiting.get(team) ?? []) {
				finish();
			}

			waiting.delete(team);
		},
	};
}

function toFetchReply(state: FollowerState, team: string): FetchReply {
	const applied = state.applied.byTeam.get(team);
	return {
		version: applied?.version ?? 0,
		changeId: applied?.changeId ?? '',
		text: applied?.text ?? '',
		rowVersion: applied?.rowVersion ?? '',
	};
}
