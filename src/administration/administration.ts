/** Dependencies of the administration API on the node, and the types of its routes. */
import type {Result} from 'neverthrow';
import type {Configuration} from '../configuration/index.js';
import type {Member} from '../membership/index.js';
import type {AccessToken, Identity, Role} from './access.js';
import type {AdministrationError} from './error.js';

/** The parts of a node that the API uses. */
export type AdministrationOptions = {
	readonly tokens: readonly AccessToken[];
	readonly configuration: Configuration;
	/** All members that the node knows. */
	readonly members: () => readonly Member[];
	/** The complete state of the node as plain values. */
	readonly dumpState: () => Record<string, unknown>;
	/** Starts to drain the node; requests in flight are completed. */
	readonly drain: () => void;
	/** Issues idempotency keys for a service; absent if the node issues none. */
	readonly issueKeys?: (
		service: string,
		count: number,
	) => Result<readonly string[], {readonly message: string}>;
	/** Metrics in the Prometheus text format. */
	readonly readMetrics: () => Promise<string>;
	/** Reason why the node is not ready, or `undefined` if it is ready. */
	readonly findUnreadinessReason: () => string | undefined;
	readonly createId: () => string;
	readonly log: {
		readonly info: (message: string, fields?: Record<string, unknown>) => void;
	};
};

/** An authorized request. */
export type AdministrationRequest = {
	readonly identity: Identity;
	/** Path segment that matched `:name`; empty for a route without it. */
	readonly name: string;
	readonly query: URLSearchParams;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
};

/** A response with JSON or with text of another content type. */
export type AdministrationResponse =
	| {readonly status: number; readonly json: unknown}
	| {readonly status: number; readonly text: string; readonly contentType: string};

export type Handler = (
	options: AdministrationOptions,
	request: AdministrationRequest,
) => Promise<Result<AdministrationResponse, AdministrationError>>;

/** A route; `:name` in the path matches any single segment. */
export type Route = {
	readonly method: 'GET' | 'PUT' | 'POST';
	readonly path: string;
	/** Required role; absent if the route needs no token. */
	readonly role?: Role;
	readonly handle: Handler;
};
