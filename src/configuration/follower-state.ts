/** The state of a follower of the configuration, its parameters, and the effects it asks for. */
import {
	createAppliedDocuments,
	type Head,
	type AppliedDocuments,
	type DocumentVersion,
} from './applied-documents.js';

/** Where a document can be fetched. */
export type DocumentSource =
	{readonly kind: 'store'} | {readonly kind: 'peer'; readonly nodeId: string};

/** What the follower's task has to carry out; its result comes back as an event. */
export type FollowerEffect =
	| {readonly kind: 'listStore'}
	| {readonly kind: 'askPeer'; readonly nodeId: string}
	| {readonly kind: 'fetch'; readonly head: Head; readonly source: DocumentSource}
	| {readonly kind: 'publish'; readonly head: Head}
	| {readonly kind: 'logInvalid'; readonly offer: DocumentVersion};

/** What another node said of the versions that it holds. */
export type PeerAnswer = {
	readonly nodeId: string;
	readonly failureDomain: string;
	readonly isReady: boolean;
	readonly heads: readonly Head[];
};

export type FollowerParameters = {
	readonly pollIntervalMilliseconds: number;
	readonly comparisonIntervalMilliseconds: number;
	/** Interval of asking while the node is not ready. */
	readonly startupIntervalMilliseconds: number;
	/** Longest pause between reads of the table by a node that is not ready. */
	readonly maximumStartupPollMilliseconds: number;
	readonly fetchRetryMilliseconds: number;
	/** Time that nodes have to offer a version before it is read from the table. */
	readonly storeFetchDelayMilliseconds: number;
	/** Ready nodes that must have answered when the table does not. */
	readonly requiredReadyPeers: number;
};

export const defaultFollowerParameters: FollowerParameters = {
	pollIntervalMilliseconds: 2000,
	comparisonIntervalMilliseconds: 2000,
	startupIntervalMilliseconds: 100,
	maximumStartupPollMilliseconds: 8000,
	fetchRetryMilliseconds: 300,
	storeFetchDelayMilliseconds: 200,
	requiredReadyPeers: 3,
};

/** A version heard of but not held. */
type PendingVersion = {
	version: number;
	sources: DocumentSource[];
	retryAt: number;
	/** Whether only the table is known to have another row, of whichever version. */
	isGuess: boolean;
};

/** A row of the table without its value. */
export type StoreRow = {readonly team: string; readonly rowVersion: string};

export type FollowerCounters = {
	applied: number;
	notHigher: number;
	invalid: number;
	storeLists: number;
	storeReads: number;
	storeFailures: number;
	peerFetches: number;
	fetchFailures: number;
	comparisons: number;
};

export type FollowerState = {
	readonly parameters: FollowerParameters;
	readonly applied: AppliedDocuments;
	readonly pendingVersions: Map<string, PendingVersion>;
	/** Rows of the table that were listed and are not known to be in force, by team. */
	readonly storeRows: Map<string, string>;
	/** Teams whose document is under way. */
	readonly fetching: Set<string>;
	/** Ready nodes that answered since the start, with their failure domains. */
	readonly answeredPeers: Map<string, string>;
	/** Stays once reached: a node goes on with what it holds while it fetches what is newer. */
	isReady: boolean;
	hasStoreAnswered: boolean;
	isListingStore: boolean;
	startupPollMilliseconds: number;
	nextPollAt: number;
	nextComparisonAt: number;
	readonly counters: FollowerCounters;
};

/** What the follower must know of the fleet at a tick. */
export type FleetView = {
	/** Whether this node is one of the pollers. */
	readonly isPoller: boolean;
	/** Picks another live node to compare versions with; `undefined` when there is none. */
	readonly pickPeer: (answered: ReadonlyMap<string, string>) => string | undefined;
	/** Live nodes besides this one, and the failure domains they stand in. */
	readonly peers: number;
	readonly failureDomains: number;
	/** Whether there is a table at all. */
	readonly hasStore: boolean;
};

/** Creates the state of a follower that holds and has heard nothing. */
export function createFollower(
	parameters: FollowerParameters = defaultFollowerParameters,
): FollowerState {
	return {
		parameters,
		applied: createAppliedDocuments(),
		pendingVersions: new Map(),
		storeRows: new Map(),
		fetching: new Set(),
		answeredPeers: new Map(),
		isReady: false,
		hasStoreAnswered: false,
		isListingStore: false,
		startupPollMilliseconds: parameters.startupIntervalMilliseconds,
		nextPollAt: 0,
		nextComparisonAt: 0,
		counters: {
			applied: 0,
			notHigher: 0,
			invalid: 0,
			storeLists: 0,
			storeReads: 0,
			storeFailures: 0,
			peerFetches: 0,
			fetchFailures: 0,
			comparisons: 0,
		},
	};
}
