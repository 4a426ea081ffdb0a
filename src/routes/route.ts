/**
 * Routes: which requests go to which service, and with which latency target and rank. A route
 * table is one version of all of them; a node uses one table at a time and replaces it only by
 * a higher version.
 */

/** One of the services that a route sends requests to. */
export type WeightedService = {
	readonly service: string;
	/** Share of the requests, relative to the weights of the other services of the route. */
	readonly weight: number;
};

/** How requests to one host below one path prefix are handled. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	/** At least one. */
	readonly weightedServices: readonly WeightedService[];
	/** Whether a request may be executed more than once. */
	readonly idempotent: boolean;
	/** Longest time from the arrival of a request to its deadline. */
	readonly timeoutMilliseconds: number;
	/** Latency target. */
	readonly targetMilliseconds: number;
	/** Urgency; 0 is the most urgent. */
	readonly rank: number;
	/** Number of servers to which one request may be sent, the first included. */
	readonly maximumAttempts: number;
	/** Regions whose servers may run its requests; empty if any may. */
	readonly homes: readonly string[];
	/** Whether its requests need no key of a team. */
	readonly isPublic: boolean;
};

/** A team whose callers are recognized by their keys. */
export type Team = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Urgency of its requests, in place of the rank of the route; undefined to keep the latter. */
	readonly rank: number | undefined;
	/** Regions whose servers may run its requests; empty if any may. */
	readonly homes: readonly string[];
	/** Limit on its requests over all nodes; infinite for none. */
	readonly requestsPerSecond: number;
	/** Requests beyond the rate that may come at once. */
	readonly burst: number;
};

/** Properties of a service that hold for all of its servers. */
export type ServiceConfiguration = {
	readonly name: string;
	/** Path of the health check of its servers. */
	readonly healthPath: string;
	/** Connections that one server accepts from all clients together. */
	readonly maximumConnections: number;
	/** Requests a second that a cold server bears; infinite if not given. */
	readonly coldRequestsPerSecond: number;
};

/** Limits on the requests of callers. */
export type CallerLimits = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMilliseconds: number;
	/** How long a connection may stay without a request. */
	readonly idleTimeoutMilliseconds: number;
};

/** One version of the routes, the services, the teams and the limits on callers. */
export type RouteTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceConfiguration[];
	/** Empty if callers need no keys. */
	readonly teams: readonly Team[];
	readonly limits: CallerLimits;
};
