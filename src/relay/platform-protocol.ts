/**
 * The platform's header and status conventions as the relay uses them. The adapter defines the
 * names on the wire; the relay works with their meaning only.
 */
import type {HeaderList, Outcome, Refusal} from '../call/index.js';

/** What a caller's headers say about its request. */
export type CallerRequestMetadata = {
	/** The caller's id for this transmission of its request; undefined if not given. */
	readonly requestId: string | undefined;
	/** How long the caller waits; undefined if not given. */
	readonly timeoutMilliseconds: number | undefined;
	/** Key of the caller's team; undefined if not given. */
	readonly teamKey: string | undefined;
};

/** What a server states about itself in each of its responses, also those of its health path. */
export type ServerNotice = {
	/**
	 * Requests a second that the server takes from all nodes together; infinite if it names no limit,
	 * undefined if the limit cannot be read.
	 */
	readonly requestsPerSecond: number | undefined;
	/** Whether the server is about to leave. */
	readonly isLeaving: boolean;
};

/** What the status and headers of a server's response say about it. */
export type ServerResponseMetadata = ServerNotice & {
	/** Id of the request that it answers; undefined if not given. */
	readonly requestId: string | undefined;
	/** Whether the server declares that it did not run the request. */
	readonly declaredNotRun: boolean;
	/** Whether a server other than the requested one responded. */
	readonly isOtherServer: boolean;
	/** Whether the response carries the server's seal header. */
	readonly sealed: boolean;
	/** Slowdown of the server's VM: current durations relative to the usual ones. */
	readonly slowdown: number | undefined;
};

/** What a server's health path reports. */
export type ServerHealth = ServerNotice & {
	/** Whether the server is healthy and not leaving. */
	readonly isHealthy: boolean;
	/** Undefined if not given. */
	readonly serverId: string | undefined;
	/** Maximum concurrent requests of the server; undefined if not given. */
	readonly slots: number | undefined;
	/** Slowdown of the server's VM: current durations relative to the usual ones. */
	readonly slowdown: number | undefined;
	/** How long the server stays cold; zero while it is warm, undefined if not given. */
	readonly coldMilliseconds: number | undefined;
};

/** What the relay adds to the request that it sends to a server. */
export type ServerRequestMetadata = {
	readonly serverId: string | undefined;
	readonly originService: string;
	/** Team of the caller; undefined without one. */
	readonly team: string | undefined;
	/** Time left until the deadline. */
	readonly remainingMilliseconds: number;
};

export type PlatformProtocol = {
	readonly readCallerHeaders: (headers: HeaderList) => CallerRequestMetadata;
	/** Removes the key of a team, and the name of a team that only a node may state. */
	readonly removeTeamHeaders: (headers: HeaderList) => HeaderList;
	/** Headers for the server: the caller's own and those that the relay sets. */
	readonly buildServerHeaders: (
		headers: HeaderList,
		metadata: ServerRequestMetadata,
	) => string[];
	readonly readServerResponse: (
		status: number,
		headers: HeaderList,
	) => ServerResponseMetadata;
	readonly readServerHealth: (status: number, headers: HeaderList) => ServerHealth;
	/** HTTP status of a refusal by the relay. */
	readonly chooseStatus: (refusal: Refusal, outcome: Outcome) => number;
	/** Headers of a refusal by the relay. */
	readonly buildRefusalHeaders: (
		requestId: string | undefined,
		refusal: Refusal,
	) => string[];
};
