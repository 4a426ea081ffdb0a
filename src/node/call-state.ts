/**
 * A call under way: its state from the first attempt to the one result, and the account of the
 * attempts that may have run.
 */
import {
	attemptResultKinds,
	createRefusal,
	isBuffered,
	outcomes,
	refusalKinds,
	type AttemptId,
	type AttemptRequest,
	type AttemptResult,
	type Body,
	type CallHead,
	type Outcome,
	type Refusal,
	type RunningAttempt,
} from '../call/index.js';
import type {Member} from '../membership/index.js';

/** A request whose head is checked. */
export type CallRequest = {
	readonly head: CallHead;
	/** End-to-end headers. */
	readonly headers: readonly string[];
	readonly body: Body;
};

/** A call under way. */
export type CallState = CallRequest & {
	readonly settle: (result: AttemptResult) => void;
	readonly excluded: Set<string>;
	attempts: number;
	/** Attempts that contact was lost with, until their gates say otherwise. */
	unresolvedAttempts: UnresolvedAttempt[];
	/** Whether a gate has said that an attempt may have run. */
	mayHaveRunAtGate: boolean;
	/** Whether the request was in flight at a crash and has not run well since. */
	suspect: boolean;
	/** Whether a gate refused for overload, after which a second round would only add to it. */
	overloaded: boolean;
	running: RunningAttempt | undefined;
	finished: boolean;
};

/** An attempt that may have run, and the gate that can tell. */
export type UnresolvedAttempt = {
	readonly member: Member;
	readonly id: AttemptId;
};

/**
 * Creates the state of a call that has not been tried yet.
 *
 * @param request the request
 * @param settle is called once, with the result for the caller
 */
export function createCallState(
	request: CallRequest,
	settle: (result: AttemptResult) => void,
): CallState {
	return {
		head: request.head,
		headers: request.headers,
		body: request.body,
		settle,
		excluded: new Set(),
		attempts: 0,
		unresolvedAttempts: [],
		mayHaveRunAtGate: false,
		overloaded: false,
		suspect: false,
		running: undefined,
		finished: false,
	};
}

/**
 * Describes the next attempt of a call.
 *
 * @param call the call
 * @param id names the attempt
 * @returns what its gate is handed
 */
export function createAttemptRequest(call: CallState, id: AttemptId): AttemptRequest {
	const {head} = call;
	return {
		id,
		service: head.service,
		method: head.method,
		path: head.path,
		headers: call.headers,
		body: call.body,
		rank: head.rank,
		caller: head.caller,
		deadlineAt: head.deadlineAt,
		idempotent: head.idempotent,
		retries: head.retries + call.attempts - 1,
		suspect: call.suspect,
	};
}

/** Tells whether a body can be sent again: it is whole, or nothing of it was read. */
export function isReplayable(body: Body): boolean {
	return isBuffered(body) || !body.readableDidRead;
}

/** Keeps the account of attempts that may have run. */
export function recordResult(
	call: CallState,
	doubt: UnresolvedAttempt,
	result: AttemptResult,
): void {
	if (result.kind === attemptResultKinds.lost) {
		call.unresolvedAttempts.push(doubt);
		return;
	}

	if (result.kind === attemptResultKinds.refused) {
		call.mayHaveRunAtGate ||= result.outcome !== outcomes.notRun;
		call.overloaded ||= result.refusal.kind === refusalKinds.overloaded;
	}
}

export function createNoServerRefusal(call: CallState): Refusal {
	return createRefusal(
		refusalKinds.noServer,
		`no server of ${call.head.service} can take the request: try again shortly`,
	);
}

export function createQuarantinedRefusal(): Refusal {
	return createRefusal(
		refusalKinds.quarantined,
		'this request has crashed servers and is refused everywhere: correct it before sending it again',
	);
}

export function createWithdrawnRefusal(): Refusal {
	return createRefusal(
		refusalKinds.cancelled,
		'the request was withdrawn before it reached a server: send it again',
	);
}

/** Tells whether a server crashed while it ran the attempt among others. */
export function isCrash(result: AttemptResult): boolean {
	return (
		result.kind === attemptResultKinds.refused &&
		result.refusal.kind === refusalKinds.serverCrashed
	);
}

/** Ends a call with its one result. */
export function finishCall(call: CallState, result: AttemptResult): void {
	call.finished = true;
	call.settle(result);
}

/** A refusal as the result of a call. */
export function createRefusedResult(refusal: Refusal, outcome: Outcome): AttemptResult {
	return {kind: attemptResultKinds.refused, refusal, outcome, load: undefined};
}

/** Drops a late answer that nobody waits for: its stream is closed so that its connection is freed. */
export function discardResult(result: AttemptResult): void {
	if (result.kind === attemptResultKinds.answered && !isBuffered(result.body)) {
		result.body.destroy();
	}
}
