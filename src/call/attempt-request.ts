/**
 * One attempt to run a call: what an ingress hands to a gate, and what comes back. The same
 * types serve an attempt at the node's own server and one sent to another node, so that the
 * ingress decides without knowing which it was.
 */
import type {Readable} from 'node:stream';
import type {AttemptId} from './attempt.js';
import type {HeaderList} from './headers.js';
import type {Outcome} from './outcome.js';
import type {Refusal} from './refusal.js';

/** A whole body in memory, or a stream of one too large to hold. */
export type Body = Uint8Array | Readable;

/** What an ingress hands to a gate. */
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
	/** Milliseconds of the monotonic clock. */
	readonly deadlineAt: number;
	readonly idempotent: boolean;
	readonly retries: number;
	/** Whether the request was in flight at a crash, so that it must run alone. */
	readonly suspect: boolean;
	/** Called when the attempt goes to the server, before its body is read. */
	readonly onDispatch?: () => void;
};

export const attemptResultKinds = {
	/** The server's answer; its body is whole, or a stream that fails if it is cut short. */
	answered: 'answered',
	/** A node refused the attempt; the outcome says whether it can have run. */
	refused: 'refused',
	/** Contact was lost after the attempt may have been received. */
	lost: 'lost',
} as const;

export type AttemptAnswered = {
	readonly kind: typeof attemptResultKinds.answered;
	readonly status: number;
	/** End-to-end headers of the server's answer. */
	readonly headers: HeaderList;
	readonly body: Body;
	/**
	 * Whether its end was told only by the end of its connection, so that nobody knows whether it
	 * is whole; it is passed on in the same way.
	 */
	readonly isCloseDelimited?: boolean;
	/** Load that the gate reports with the answer, in the form of the load header. */
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

/** An attempt under way. */
export type RunningAttempt = {
	readonly result: Promise<AttemptResult>;
	/** Gives up the attempt; the result then settles as lost or refused. */
	readonly cancel: () => void;
};

/**
 * Tells a whole body from a stream.
 *
 * @param body the body of a request or an answer
 * @returns whether the body is in memory in whole
 */
export function isBuffered(body: Body): body is Uint8Array {
	return body instanceof Uint8Array;
}
