/** What the administration API needs of the node, and what its routes are given. */
import type {Result} from 'neverthrow';
import type {Configuration} from '../configuration/index.js';
import type {Member} from '../membership/index.js';
import type {AccessToken, Identity, Role} from './access.js';
import type {AdministrationError} from './error.js';

/** The parts of a node that the API reaches. */
export type AdministrationOptions = {
	readonly tokens: readonly AccessToken[];
	readonly configuration: Configuration;
	/** All members that the node knows. */
	readonly members: () => readonly Member[];
	/** The whole state of the node in plain values. */
	readonly dumpState: () => Record<string, unknown>;
	/** Begins to leave; the node finishes what it runs. */
	readonly drain: () => void;
	/** Issues idempotency keys for a service; left out where the node issues none. */
	readonly issueKeys?: (
		service: string,
		count: number,
	) => Result<readonly string[], {readonly message: string}>;
	/** Metrics in the text format of Prometheus. */
	readonly readMetrics: () => Promise<string>;
	/** Why the node may not serve, or `undefined` when it may. */
	readonly findUnreadinessReason: () => string | undefined;
	readonly createId: () => string;
	readonly log: {
		readonly info: (message: string, fields?: Record<string, unknown>) => void;
	};
};

/** A request whose sender may make it. */
export type AdministrationRequest = {
	readonly identity: Identity;
	/** The part of the path that a route leaves open. */
	readonly name: string;
	readonly query: URLSearchParams;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
};

/** An answer: JSON, or text of another type. */
export type AdministrationResponse =
	| {readonly status: number; readonly json: unknown}
	| {readonly status: number; readonly text: string; readonly contentType: string};

export type Handler = (
	options: AdministrationOptions,
	request: AdministrationRequest,
) => Promise<Result<AdministrationResponse, AdministrationError>>;

/** A route; `:name` in the path stands for any one part. */
export type Route = {
	readonly method: 'GET' | 'PUT' | 'POST';
	readonly path: string;
	/** Left out for what anyone may ask. */
	readonly role?: Role;
	readonly handle: Handler;
};
