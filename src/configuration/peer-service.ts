/**
 * Answers other nodes that ask for versions and documents. A node that was told of a version
 * before the document reached this node waits here for it a little, so that documents follow
 * the gossip from node to node without a second try.
 */
import {
	ConfigurationPeerService,
	type ConfigurationPeerServer,
	type FetchReply,
} from '../generated/configuration.js';
import type {FollowerState} from './follower-state.js';
import {getAppliedVersion, listHeads} from './applied-documents.js';

const longestWaitMilliseconds = 1000;
const maximumWaiting = 256;

export type PeerService = {
	/** For the control listener. */
	readonly service: {
		readonly definition: typeof ConfigurationPeerService;
		readonly implementation: ConfigurationPeerServer;
	};
	/** Answers those who wait for the team's document, after it was applied. */
	readonly answerWaiting: (team: string) => void;
};

/**
 * Creates the service.
 *
 * @param state what the node holds; only read
 */
export function createPeerService(state: FollowerState): PeerService {
	const waiting = new Map<string, Set<() => void>>();
	let waitingCount = 0;

	const waitFor = (team: string, answer: () => void): void => {
		const answers = waiting.get(team) ?? new Set();
		const finish = (): void => {
			clearTimeout(timer);
			answers.delete(finish);
			waitingCount -= 1;
			answer();
		};

		const timer = setTimeout(finish, longestWaitMilliseconds);
		waitingCount += 1;
		answers.add(finish);
		waiting.set(team, answers);
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
				callback(null, describeHeld(state, team));
			};

			const isUnderWay = (state.pendingVersions.get(team)?.version ?? 0) >= version;
			const mustWait = getAppliedVersion(state.applied, team) < version && isUnderWay;
			if (mustWait && waitingCount < maximumWaiting) {
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

function describeHeld(state: FollowerState, team: string): FetchReply {
	const held = state.applied.byTeam.get(team);
	return {
		version: held?.version ?? 0,
		changeId: held?.changeId ?? '',
		text: held?.text ?? '',
		rowVersion: held?.rowVersion ?? '',
	};
}
