/**
 * What the relay needs to know of the language that callers and servers speak. The names on the
 * wire are the adapter's; the relay sees their meaning.
 */
import type {HeaderList, Outcome, Refusal} from '../call/index.js';

/** What a caller says of its request besides the request itself. */
export type CallerRequestMetadata = {
	/** Its own name for this try; undefined when it gives none. */
	readonly requestId: string | undefined;
	/** How long it will wait, in milliseconds; undefined when it does not say. */
	readonly timeoutMilliseconds: number | undefined;
};

/** What a server's answer says besides the answer itself. */
export type ServerResponseMetadata = {
	/** The request that it answers; undefined when it does not say. */
	readonly requestId: string | undefined;
	/** Whether the server declares that it did not run the request. */
	readonly declaredNotRun: boolean;
	/** Whether another server than the one asked for answered. */
	readonly isOtherServer: boolean;
	/** Whether the answer bears the server's seal. */
	readonly sealed: boolean;
	/** Time that work takes on the server's VM, in proportion to the usual. */
	readonly slowdown: number | undefined;
};

/** What a server's health path says. */
export type ServerHealth = {
	/** Whether it says that it is well and not leaving. */
	readonly isHealthy: boolean;
	/** Undefined when it does not say. */
	readonly serverId: string | undefined;
	/** Requests that it runs at once; undefined when it does not say. */
	readonly slots: number | undefined;
	/** Time that work takes on the server's VM, in proportion to the usual. */
	readonly slowdown: number | undefined;
};

/** What a server is told besides the caller's request. */
export type ServerRequestMetadata = {
	readonly serverId: string | undefined;
	readonly originService: string;
	/** Time left, in milliseconds. */
	readonly remainingMilliseconds: number;
};

export type PlatformProtocol = {
	readonly readCallerHeaders: (headers: HeaderList) => CallerRequestMetadata;
	/** The caller's headers as the server gets them. */
	readonly buildServerHeaders: (
		headers: HeaderList,
		head: ServerRequestMetadata,
	) => string[];
	readonly readServerResponse: (
		status: number,
		headers: HeaderList,
	) => ServerResponseMetadata;
	readonly readServerHealth: (status: number, headers: HeaderList) => ServerHealth;
	/** Status of a refusal of the relay's own. */
	readonly chooseStatus: (refusal: Refusal, outcome: Outcome) => number;
	/** Headers of a refusal of the relay's own. */
	readonly buildRefusalHeaders: (
		requestId: string | undefined,
		refusal: Refusal,
	) => string[];
};
