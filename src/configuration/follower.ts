/**
 * How a node follows the configuration: decisions only. It hears of versions from gossip, from
 * other nodes and, if it is a poller, from the table; it fetches what is higher than what it
 * holds and puts it in force. It is ready once it holds every version that it heard of, and heard
 * from the table or from several ready nodes. Functions change the state in place and return the
 * effects to carry out.
 */
import type {
	FollowerEffect,
	FollowerState,
	PeerAnswer,
	DocumentSource,
	StoreRow,
	FleetView,
} from './follower-state.js';
import {
	compareWithStore,
	fetchIfDue,
	removeResolvedVersion,
	addPendingVersion,
	postponeFetch,
} from './pending-versions.js';
import {
	getAppliedVersion,
	applyOutcomes,
	applyDocument,
	type Head,
	type DocumentVersion,
} from './applied-documents.js';
import {findUnreadinessReason} from './readiness.js';

/**
 * Notes versions that someone holds and fetches those that are higher.
 *
 * @param state the follower, changed in place
 * @param heads the versions
 * @param source where their documents can be fetched
 * @param now monotonic milliseconds
 */
export function handleReportedVersions(
	state: FollowerState,
	heads: Iterable<Head>,
	source: DocumentSource,
	now: number,
): FollowerEffect[] {
	return [...heads].flatMap(head => {
		const isFresh = head.version > getAppliedVersion(state.applied, head.team);
		if (!isFresh) {
			return [];
		}

		addPendingVersion(state, head, source, now);
		return fetchIfDue(state, head.team, now);
	});
}

/**
 * Takes the table's list of rows. A row's version tells only whether it is the one in force, so
 * another one is looked for: first at the nodes, after a while in the table.
 */
export function handleStoreRows(
	state: FollowerState,
	rows: Iterable<StoreRow>,
	now: number,
): void {
	state.isListingStore = false;
	state.hasStoreAnswered = true;
	state.storeRows.clear();
	for (const {team, rowVersion} of rows) {
		state.storeRows.set(team, rowVersion);
		compareWithStore(state, team, now);
	}
}

/** Notes that the table did not answer; a node that is not ready waits longer each time. */
export function handleStoreFailure(state: FollowerState): void {
	state.isListingStore = false;
	state.counters.storeFailures += 1;
	state.startupPollMilliseconds = Math.min(
		state.startupPollMilliseconds * 2,
		state.parameters.maximumStartupPollMilliseconds,
	);
}

/** Takes another node's versions; only the word of a ready node counts for the start. */
export function handlePeerAnswer(
	state: FollowerState,
	answer: PeerAnswer,
	now: number,
): FollowerEffect[] {
	if (answer.isReady) {
		state.answeredPeers.set(answer.nodeId, answer.failureDomain);
	}

	return handleReportedVersions(
		state,
		answer.heads,
		{kind: 'peer', nodeId: answer.nodeId},
		now,
	);
}

/**
 * Takes a document that was fetched, or that this node had accepted.
 *
 * @param state the follower, changed in place
 * @param offer the document
 * @param sourceKind where it comes from; the table's word ends every doubt about its row
 * @param times `now` monotonic, `wallClock` since 1970, both in milliseconds
 */
export function handleDocument(
	state: FollowerState,
	offer: DocumentVersion,
	sourceKind: DocumentSource['kind'],
	times: {readonly now: number; readonly wallClock: number},
): FollowerEffect[] {
	state.fetching.delete(offer.team);
	const outcome = applyDocument(state.applied, offer, times.wallClock);
	const effects: FollowerEffect[] = [];
	if (outcome === applyOutcomes.applied) {
		state.counters.applied += 1;
		effects.push({kind: 'publish', head: {team: offer.team, version: offer.version}});
	}

	if (outcome === applyOutcomes.notHigher) {
		state.counters.notHigher += 1;
	}

	if (outcome === applyOutcomes.invalid) {
		state.counters.invalid += 1;
		postponeFetch(state, offer.team, times.now);
		effects.push({kind: 'logInvalid', offer});
	}

	removeResolvedVersion(state, offer.team, sourceKind);
	compareWithStore(state, offer.team, times.now);
	return [...effects, ...fetchIfDue(state, offer.team, times.now)];
}

/** Notes that a fetch brought nothing; the next source is tried at a later tick. */
export function handleFetchFailure(
	state: FollowerState,
	team: string,
	now: number,
): void {
	state.fetching.delete(team);
	state.counters.fetchFailures += 1;
	postponeFetch(state, team, now);
	if (state.pendingVersions.get(team)?.sources.length === 0) {
		const retryAt = now + state.parameters.fetchRetryMilliseconds;
		state.nextComparisonAt = Math.min(state.nextComparisonAt, retryAt);
	}
}

/**
 * Does what is due: polls, compares with another node, fetches again what failed.
 *
 * @param state the follower, changed in place
 * @param around the fleet as the node sees it
 * @param now monotonic milliseconds
 * @param random gives numbers from 0 to below 1, to spread the intervals
 */
export function tick(
	state: FollowerState,
	around: FleetView,
	now: number,
	random: () => number,
): FollowerEffect[] {
	state.isReady ||= findUnreadinessReason(state, around) === undefined;
	const effects = [...state.pendingVersions.keys()].flatMap(team =>
		fetchIfDue(state, team, now),
	);
	const mustPoll = around.isPoller || !state.hasStoreAnswered || lacksSource(state);
	if (around.hasStore && mustPoll && !state.isListingStore && now >= state.nextPollAt) {
		state.isListingStore = true;
		state.nextPollAt = now + spread(pollPause(state), random);
		state.counters.storeLists += 1;
		effects.push({kind: 'listStore'});
	}

	const peer =
		now >= state.nextComparisonAt ? around.pickPeer(state.answeredPeers) : undefined;
	if (peer !== undefined) {
		state.nextComparisonAt = now + spread(askPause(state), random);
		state.counters.comparisons += 1;
		effects.push({kind: 'askPeer', nodeId: peer});
	}

	return effects;
}

function pollPause(state: FollowerState): number {
	return state.isReady
		? state.parameters.pollIntervalMilliseconds
		: state.startupPollMilliseconds;
}

function askPause(state: FollowerState): number {
	return state.isReady
		? state.parameters.comparisonIntervalMilliseconds
		: state.parameters.startupIntervalMilliseconds;
}

/** A node that is not ready looks in the table for a version that no node gave it. */
function lacksSource(state: FollowerState): boolean {
	return (
		!state.isReady &&
		[...state.pendingVersions.values()].some(heard => heard.sources.length === 0)
	);
}

/** From three quarters to five quarters of the interval, so that nodes do not act in step. */
function spread(milliseconds: number, random: () => number): number {
	return milliseconds * (0.75 + random() / 2);
}
