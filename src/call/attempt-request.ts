/**
 * Request and result of one attempt: what an ingress passes to a gate and gets back. The types
 * are the same for the node's own server and for another node, so the ingress logic need not
 * distinguish the two.
 */
import type {Readable} from 'node:stream';
import type {AttemptId} from './attempt.js';
import type {HeaderList} from './headers.js';
import type {Outcome} from './outcome.js';
import type {Refusal} from './refusal.js';

/** A body buffered in memory, or a stream if it is too large to buffer. */
export type Body = Uint8Array | Readable;

/** What an ingress passes to a gate. */
export type AttemptRequest = {
	readonly id: AttemptId;
	readonly service: string;
	readonly method: string;
	readonly path: string;
	/** End-to-end headers of the caller's request. */
	readonly headers: HeaderList;
	readonly body: Body;
	readonly rank: string;
	readonly caller: string;
	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
	readonly idempotent: boolean;
	readonly retries: number;
	/** Whether the request was in flight when a server crashed, so that it must run alone. */
	readonly suspect: boolean;
	/** Called when the attempt is dispatched to the server, before its body is read. */
	readonly onDispatch?: () => void;
};

export const attemptResultKinds = {
	/** The server responded; the body is buffered, or a stream that fails if it is truncated. */
	answered: 'answered',
	/** A node refused the attempt; the outcome says whether it may have run. */
	refused: 'refused',
	/** The connection failed after the attempt may have been received. */
	lost: 'lost',
} as const;

export type AttemptAnswered = {
	readonly kind: typeof attemptResultKinds.answered;
	readonly status: number;
	/** End-to-end headers of the server's response. */
	readonly headers: HeaderList;
	readonly body: Body;
	/** Load reported by the gate, as the value of the load header. */
	readonly load: string | undefined;
};

export type AttemptRefused = {
	readonly kind: typeof attemptResultKinds.refused;
	readonly refusal: Refusal;
	readonly outcome: Outcome;
	readonly load: string | undefined;
};

export type AttemptLost = {
	readonly kind: typeof attemptResultKinds.lost;
	readonly message: string;
};

export type AttemptResult = AttemptAnswered | AttemptRefused | AttemptLost;

/** An attempt in progress. */
export type RunningAttempt = {
	readonly result: Promise<AttemptResult>;
	/** Cancels the attempt; the result then settles as lost or refused. */
	readonly cancel: () => void;
	/** Withdraws the attempt if it still waits; true only if it never ran and never will. */
	readonly withdraw?: () => Promise<boolean>;
};

/**
 * Distinguishes a buffered body from a stream.
 *
 * @param body the body of a request or a response
 * @returns whether the whole body is in memory
 */
export function isBuffered(body: Body): body is Uint8Array {
	return body instanceof Uint8Array;
}
