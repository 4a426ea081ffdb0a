/**
 * Routes: which requests go to which service, and what their callers expect. A route table is one
 * version of all of them; a node uses one table at a time and only ever a higher version.
 */

/** One of the services that a route's requests go to. */
export type WeightedService = {
	readonly service: string;
	/** Share of the requests, in proportion to the other parts of the route. */
	readonly weight: number;
};

/** What the requests of one host below one path prefix are. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	/** At least one. */
	readonly weightedServices: readonly WeightedService[];
	/** Whether a request may run more than once. */
	readonly idempotent: boolean;
	/** Longest time that a request may be kept waiting. */
	readonly timeoutMilliseconds: number;
	/** Time within which an answer is worth most. */
	readonly targetMilliseconds: number;
	/** Urgency; 0 is the most urgent. */
	readonly rank: number;
	/** Servers to which one request may be sent at most. */
	readonly maximumAttempts: number;
};

/** What is known of a service as a whole. */
export type ServiceConfiguration = {
	readonly name: string;
	/** Path that tells whether a server of it is well. */
	readonly healthPath: string;
	/** Connections that one server accepts from all sides together. */
	readonly maximumConnections: number;
};

/** Bounds on what a caller may send. */
export type CallerLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMilliseconds: number;
	/** How long a connection may stay without a request. */
	readonly idleTimeoutMilliseconds: number;
};

/** One version of everything that routing goes by. */
export type RouteTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceConfiguration[];
	readonly limits: CallerLimits;
};
