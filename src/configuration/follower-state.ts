/** The state, parameters and effects of a configuration follower. */
import {
	createAppliedDocuments,
	type Head,
	type AppliedDocuments,
	type DocumentVersion,
} from './applied-documents.js';

/** A source of a document. */
export type DocumentSource =
	{readonly kind: 'store'} | {readonly kind: 'peer'; readonly nodeId: string};

/** An effect for the task to run; its result comes back as an event. */
export type FollowerEffect =
	| {readonly kind: 'listStore'}
	| {readonly kind: 'askPeer'; readonly nodeId: string}
	| {readonly kind: 'fetch'; readonly head: Head; readonly source: DocumentSource}
	| {readonly kind: 'publish'; readonly head: Head}
	| {readonly kind: 'logInvalid'; readonly documentVersion: DocumentVersion};

/** The versions that another node has applied, as it reported them. */
export type PeerAnswer = {
	readonly nodeId: string;
	readonly failureDomain: string;
	readonly isReady: boolean;
	readonly heads: readonly Head[];
};

export type FollowerParameters = {
	readonly pollIntervalMilliseconds: number;
	readonly comparisonIntervalMilliseconds: number;
	/** Comparison interval, and first poll interval, while the node is not ready. */
	readonly startupIntervalMilliseconds: number;
	/** Longest poll interval of the table while the node is not ready. */
	readonly maximumStartupPollMilliseconds: number;
	readonly fetchRetryMilliseconds: number;
	/** How long a version is expected from other nodes before it is read from the table. */
	readonly storeFetchDelayMilliseconds: number;
	/** Ready nodes that must answer when the table does not. */
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

/** A version reported by a node or the table that is not applied here. */
type PendingVersion = {
	version: number;
	sources: DocumentSource[];
	retryAt: number;
	/** Whether the version is a guess, since the table lists a changed row without its version. */
	isGuess: boolean;
};

/** A row as the table lists it, without its value. */
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
	/** Listed row versions that differ from the applied document, by team. */
	readonly storeRows: Map<string, string>;
	/** Teams whose document is being fetched. */
	readonly fetching: Set<string>;
	/** Failure domains of the ready nodes that have answered since the start, by node. */
	readonly answeredPeers: Map<string, string>;
	/** Never reset: the node keeps serving with its documents while it fetches newer ones. */
	isReady: boolean;
	hasStoreAnswered: boolean;
	isListingStore: boolean;
	startupPollMilliseconds: number;
	nextPollAt: number;
	nextComparisonAt: number;
	readonly counters: FollowerCounters;
};

/** What the follower needs to know about the fleet. */
export type FleetView = {
	/** Whether this node is one of the pollers. */
	readonly isPoller: boolean;
	/** Picks a live node to compare versions with; `undefined` if there is none. */
	readonly pickPeer: (answered: ReadonlyMap<string, string>) => string | undefined;
	/** Live nodes other than this one, and the number of their failure domains. */
	readonly peerCount: number;
	readonly failureDomainCount: number;
	/** Whether a table is configured. */
	readonly hasStore: boolean;
};

/** Creates the initial state of a follower. */
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
