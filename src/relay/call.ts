/**
 * A request under way in the relay: what its caller asked, its route's expectations, and one
 * attempt of it at a gate.
 */
import type {AttemptId, Body, HeaderList} from '../call/index.js';

/** A request whose route is known. */
export type RelayCall = {
	/** The caller's own name for this try of its request. */
	readonly requestId: string;
	readonly route: string;
	/** Service that its route chose. */
	readonly service: string;
	readonly method: string;
	/** Path and query as received. */
	readonly path: string;
	/** End-to-end headers. */
	readonly headers: HeaderList;
	readonly body: Body;
	/** Service of the VM on which the request began. */
	readonly originService: string;
	readonly rank: number;
	readonly idempotent: boolean;
	/** Whether a request that already runs waits for it. */
	readonly nested: boolean;
	readonly targetMilliseconds: number;
	/** Monotonic milliseconds, as are the next two. */
	readonly arrivedAt: number;
	readonly targetAt: number;
	readonly deadlineAt: number;
	readonly maximumAttempts: number;
};

/** One sending of a call to a gate. */
export type RelayAttempt = {
	readonly id: AttemptId;
	readonly call: RelayCall;
	/** Whether a server has had the call before, so that it draws on the repeat budget. */
	readonly isRetry: boolean;
};
