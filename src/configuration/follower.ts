/**
 * The decisions of a node that follows the configuration, without I/O. The node learns of versions
 * from gossip, from other nodes and, if it is a poller, from the table; it fetches and applies
 * those that are higher than its own. It is ready once no version is pending and the table or
 * several ready nodes have answered. Functions change the state in place and return the effects
 * to run.
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
 * Records reported versions and fetches those that are higher than the applied ones.
 *
 * @param state the follower, changed in place
 * @param heads the reported versions
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
		const isNewer = head.version > getAppliedVersion(state.applied, head.team);
		if (!isNewer) {
			return [];
		}

		addPendingVersion(state, head, source, now);
		return fetchIfDue(state, head.team, now);
	});
}

/**
 * Handles the table's list of rows. A row version tells only whether the row is the applied one;
 * a different row is first expected from other nodes and after a delay read from the table.
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

/** Handles a failed list of the table: doubles the poll interval of a node that is not ready. */
export function handleStoreFailure(state: FollowerState): void {
	state.isListingStore = false;
	state.counters.storeFailures += 1;
	state.startupPollMilliseconds = Math.min(
		state.startupPollMilliseconds * 2,
		state.parameters.maximumStartupPollMilliseconds,
	);
}

/** Handles another node's versions; only answers of ready nodes count for readiness. */
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
 * Handles a document that was fetched, or that this node wrote to the table.
 *
 * @param state the follower, changed in place
 * @param documentVersion the document
 * @param sourceKind its source; a document from the table resolves a guessed version
 * @param times `now` monotonic, `wallClock` since 1970, both in milliseconds
 */
export function handleDocument(
	state: FollowerState,
	documentVersion: DocumentVersion,
	sourceKind: DocumentSource['kind'],
	times: {readonly now: number; readonly wallClock: number},
): FollowerEffect[] {
	state.fetching.delete(documentVersion.team);
	const outcome = applyDocument(state.applied, documentVersion, times.wallClock);
	const effects: FollowerEffect[] = [];
	if (outcome === applyOutcomes.applied) {
		state.counters.applied += 1;
		effects.push({
			kind: 'publish',
			head: {team: documentVersion.team, version: documentVersion.version},
		});
	}

	if (outcome === applyOutcomes.notHigher) {
		state.counters.notHigher += 1;
	}

	if (outcome === applyOutcomes.invalid) {
		state.counters.invalid += 1;
		postponeFetch(state, documentVersion.team, times.now);
		effects.push({kind: 'logInvalid', documentVersion});
	}

	removeResolvedVersion(state, documentVersion.team, sourceKind);
	compareWithStore(state, documentVersion.team, times.now);
	return [...effects, ...fetchIfDue(state, documentVersion.team, times.now)];
}

/** Handles a failed fetch; the next source is tried at a later tick. */
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
 * Starts what is due: a poll of the table, a comparison with another node, retries of fetches.
 *
 * @param state the follower, changed in place
 * @param fleet the node's view of the fleet
 * @param now monotonic milliseconds
 * @param random returns a number from 0 to below 1, for the jitter of the intervals
 */
export function tick(
	state: FollowerState,
	fleet: FleetView,
	now: number,
	random: () => number,
): FollowerEffect[] {
	state.isReady ||= findUnreadinessReason(state, fleet) === undefined;
	const effects = [...state.pendingVersions.keys()].flatMap(team =>
		fetchIfDue(state, team, now),
	);
	const mustPoll =
		fleet.isPoller || !state.hasStoreAnswered || hasPendingWithoutSource(state);
	if (fleet.hasStore && mustPoll && !state.isListingStore && now >= state.nextPollAt) {
		state.isListingStore = true;
		state.nextPollAt = now + addJitter(getPollInterval(state), random);
		state.counters.storeLists += 1;
		effects.push({kind: 'listStore'});
	}

	const peer =
		now >= state.nextComparisonAt ? fleet.pickPeer(state.answeredPeers) : undefined;
	if (peer !== undefined) {
		state.nextComparisonAt = now + addJitter(getComparisonInterval(state), random);
		state.counters.comparisons += 1;
		effects.push({kind: 'askPeer', nodeId: peer});
	}

	return effects;
}

function getPollInterval(state: FollowerState): number {
	return state.isReady
		? state.parameters.pollIntervalMilliseconds
		: state.startupPollMilliseconds;
}

function getComparisonInterval(state: FollowerState): number {
	return state.isReady
		? state.parameters.comparisonIntervalMilliseconds
		: state.parameters.startupIntervalMilliseconds;
}

/** Whether a node that is not ready has a pending version without a source left to try. */
function hasPendingWithoutSource(state: FollowerState): boolean {
	return (
		!state.isReady &&
		[...state.pendingVersions.values()].some(pending => pending.sources.length === 0)
	);
}

/** Scales an interval to 75-125 %, so that nodes do not act in lockstep. */
function addJitter(milliseconds: number, random: () => number): number {
	return milliseconds * (0.75 + random() / 2);
}
