/**
 * The state of a call from the first attempt to its result, including which attempts may have
 * run.
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

/** A request whose head has been validated. */
export type CallRequest = {
	readonly head: CallHead;
	/** End-to-end headers. */
	readonly headers: readonly string[];
	readonly body: Body;
};

/** A call in progress. */
export type CallState = CallRequest & {
	readonly settle: (result: AttemptResult) => void;
	readonly excluded: Set<string>;
	attempts: number;
	/** Attempts whose connection was lost, until their gates confirm that they did not run. */
	unresolvedAttempts: UnresolvedAttempt[];
	/** Whether a gate reported that an attempt may have run. */
	mayHaveRunAtGate: boolean;
	/** Whether the request was in flight at a crash and has not succeeded since. */
	suspect: boolean;
	/** Whether a gate refused for overload; a second round would only add to the load. */
	overloaded: boolean;
	running: RunningAttempt | undefined;
	finished: boolean;
};

/** An attempt that may have run, and the member whose gate knows. */
export type UnresolvedAttempt = {
	readonly member: Member;
	readonly id: AttemptId;
};

/**
 * Creates the state of a call before its first attempt.
 *
 * @param request the request
 * @param settle called once, with the result for the caller
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
 * Creates the request of a call's next attempt.
 *
 * @param call the call
 * @param id id of the attempt
 * @returns the request for the gate
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

/** Tells whether a body can be sent again: it is buffered, or nothing of it was read. */
export function isReplayable(body: Body): boolean {
	return isBuffered(body) || !body.readableDidRead;
}

/** Records whether an attempt may have run, and whether its gate was overloaded. */
export function recordResult(
	call: CallState,
	attempt: UnresolvedAttempt,
	result: AttemptResult,
): void {
	if (result.kind === attemptResultKinds.lost) {
		call.unresolvedAttempts.push(attempt);
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
		`no server of ${call.head.service} is available for the request: try again shortly`,
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
		'the request was cancelled before it reached a server: send it again',
	);
}

/** Tells whether a server crashed while it ran the attempt and others. */
export function isCrash(result: AttemptResult): boolean {
	return (
		result.kind === attemptResultKinds.refused &&
		result.refusal.kind === refusalKinds.serverCrashed
	);
}

/** Ends a call with its result. */
export function finishCall(call: CallState, result: AttemptResult): void {
	call.finished = true;
	call.settle(result);
}

export function createRefusedResult(refusal: Refusal, outcome: Outcome): AttemptResult {
	return {kind: attemptResultKinds.refused, refusal, outcome, load: undefined};
}

/** Discards a late response; its stream is destroyed so that the connection is freed. */
export function discardResult(result: AttemptResult): void {
	if (result.kind === attemptResultKinds.answered && !isBuffered(result.body)) {
		result.body.destroy();
	}
}
