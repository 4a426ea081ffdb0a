/**
 * A caller's request in the relay with what its route prescribes, and one attempt of it at a gate.
 */
import type {AttemptId, Body, HeaderList} from '../call/index.js';

/** A request that matched a route. */
export type RelayCall = {
	/** The caller's id for this transmission of its request. */
	readonly requestId: string;
	readonly route: string;
	/** Service chosen among those of the route. */
	readonly service: string;
	readonly method: string;
	/** Path and query as received. */
	readonly path: string;
	/** End-to-end headers. */
	readonly headers: HeaderList;
	readonly body: Body;
	/** Service of the VM that sent the request. */
	readonly originService: string;
	readonly rank: number;
	readonly idempotent: boolean;
	/** Whether a running request waits for it. */
	readonly nested: boolean;
	/** Whether a retry made it, so that it counts as a retry at its own service too. */
	readonly repeated: boolean;
	readonly targetMilliseconds: number;
	/** Monotonic time in milliseconds. */
	readonly arrivedAt: number;
	/** Monotonic time in milliseconds. */
	readonly targetAt: number;
	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
	readonly maximumAttempts: number;
	/** Team of the caller; undefined for requests that need no key. */
	readonly team: string | undefined;
	/** Regions whose servers may run it; undefined if any may, empty if none may. */
	readonly homes: readonly string[] | undefined;
};

/** One attempt to run a call at a gate. */
export type RelayAttempt = {
	readonly id: AttemptId;
	readonly call: RelayCall;
	/** Whether an earlier attempt reached a server, so that this one spends the retry budget. */
	readonly isRetry: boolean;
	/** Digests by which its ingress suspects it to crash servers; absent if there are none. */
	readonly suspectDigests?: readonly string[];
};
