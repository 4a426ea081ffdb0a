/**
 * Runs a call to its end: chooses a server, sends an attempt, and follows what becomes of it
 * until there is one result for the caller. It owns the calls that it runs.
 */
import {
	attemptResultKinds,
	createRefusal,
	decideNextStep,
	isWhole,
	nextSequence,
	nextStepKinds,
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

/** What the runner needs of the node around it. */
export type CallRunnerOptions = {
	/** Names this life of the node in its attempts. */
	readonly ingressName: string;
	/** Wall clock in milliseconds; it only spaces the numbers of attempts. */
	readonly wallClock: () => number;
	/** Present time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	/** Picks a member for the next attempt, or `undefined` when none is left. */
	readonly choose: (head: CallHead, excluded: ReadonlySet<string>) => Member | undefined;
	/** Runs an attempt at a member's gate, this node's own included. */
	readonly send: (member: Member, request: AttemptRequest) => RunningAttempt;
	/** Asks a gate to cancel an attempt; true only if it was never and will never be dispatched. */
	readonly confirmNotRun: (member: Member, id: AttemptId) => Promise<boolean>;
	/** Whether the retry budget of a service grants one more attempt. */
	readonly grantRetry: (head: CallHead, result: AttemptResult) => boolean;
};

/** A request whose head is checked. */
export type CallRequest = {
	readonly head: CallHead;
	/** End-to-end headers. */
	readonly headers: readonly string[];
	readonly body: Body;
};

/** Runs a call; its result is an answer or a refusal, or lost after it was cancelled. */
export type RunCall = (request: CallRequest) => RunningAttempt;

/** A call under way. */
type Call = CallRequest & {
	readonly settle: (result: AttemptResult) => void;
	readonly excluded: Set<string>;
	attempts: number;
	mayHaveRun: boolean;
	running: RunningAttempt | undefined;
	finished: boolean;
};

type Attempted = {
	readonly member: Member;
	readonly id: AttemptId;
	readonly result: AttemptResult;
};

/** A gate refuses in time by itself; the ingress waits this much longer before it gives up. */
const deadlineGraceMilliseconds = 20;

/**
 * Creates the runner.
 *
 * @param options what it needs of the node around it
 * @returns a function that runs calls
 */
export function createCallRunner(options: CallRunnerOptions): RunCall {
	let sequence = 0;

	function runCall(request: CallRequest): RunningAttempt {
		let settle!: (result: AttemptResult) => void;
		const result = new Promise<AttemptResult>(resolve => {
			settle = resolve;
		});
		const call = createCall(request, settle);
		const timer = setTimeout(
			() => {
				expire(call);
			},
			call.head.deadlineAt - options.now() + deadlineGraceMilliseconds,
		);
		void result.then(() => {
			clearTimeout(timer);
		});
		tryNext(call);
		return {
			result,
			cancel() {
				call.running?.cancel();
				finish(call, {kind: attemptResultKinds.lost, message: 'cancelled'});
			},
		};
	}

	/** A large body is bounded by its progress, not by the deadline. */
	function expire(call: Call): void {
		if (isWhole(call.body)) {
			call.running?.cancel();
		}
	}

	function tryNext(call: Call): void {
		const member = options.choose(call.head, call.excluded);
		if (member === undefined) {
			const refusal = createRefusal(
				refusalKinds.noServer,
				`no server of ${call.head.service} can take the request: try again shortly`,
			);
			const outcome = call.mayHaveRun ? outcomes.unknown : outcomes.notRun;
			finish(call, refuse(refusal, outcome));
			return;
		}

		void attempt(call, member);
	}

	async function attempt(call: Call, member: Member): Promise<void> {
		sequence = nextSequence(sequence, options.wallClock());
		const id = {ingress: options.ingressName, sequence};
		call.attempts += 1;
		call.excluded.add(member.nodeId);
		const running = options.send(member, createAttempt(call, id));
		call.running = running;
		const result = await running.result;
		call.running = undefined;
		follow(call, {member, id, result}, false);
	}

	function follow(call: Call, attempted: Attempted, confirmed: boolean): void {
		const {result} = attempted;
		if (call.finished) {
			discard(result);
			return;
		}

		const progress = {
			attempts: call.attempts,
			mayHaveRun: call.mayHaveRun,
			replayable: isReplayable(call.body),
			confirmed,
			retryGranted:
				result.kind === attemptResultKinds.answered ||
				options.grantRetry(call.head, result),
		};
		const step = decideNextStep(call.head, result, progress, options.now());
		switch (step.kind) {
			case nextStepKinds.answer: {
				finish(call, result);
				return;
			}

			case nextStepKinds.refuse: {
				finish(call, refuse(step.refusal, step.outcome));
				return;
			}

			case nextStepKinds.confirm: {
				void confirm(call, attempted);
				return;
			}

			case nextStepKinds.retry: {
				call.mayHaveRun ||= mayHaveRun(result);
				tryNext(call);
			}
		}
	}

	async function confirm(call: Call, attempted: Attempted): Promise<void> {
		const notRun = await options.confirmNotRun(attempted.member, attempted.id);
		const result: AttemptResult = notRun
			? {
					kind: attemptResultKinds.refused,
					refusal: createRefusal(
						refusalKinds.cancelled,
						'the request was withdrawn before it reached a server: send it again',
					),
					outcome: outcomes.notRun,
					load: undefined,
				}
			: attempted.result;
		follow(call, {...attempted, result}, true);
	}

	return runCall;
}

function createCall(request: CallRequest, settle: (result: AttemptResult) => void): Call {
	return {
		...request,
		settle,
		excluded: new Set(),
		attempts: 0,
		mayHaveRun: false,
		running: undefined,
		finished: false,
	};
}

function createAttempt(call: Call, id: AttemptId): AttemptRequest {
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
	};
}

function isReplayable(body: Body): boolean {
	return isWhole(body) || !body.readableDidRead;
}

function mayHaveRun(result: AttemptResult): boolean {
	if (result.kind === attemptResultKinds.refused) {
		return result.outcome !== outcomes.notRun;
	}

	return true;
}

function finish(call: Call, result: AttemptResult): void {
	call.finished = true;
	call.settle(result);
}

function refuse(refusal: Refusal, outcome: Outcome): AttemptResult {
	return {kind: attemptResultKinds.refused, refusal, outcome, load: undefined};
}

/** A late answer nobody waits for: its stream is closed so that its connection is freed. */
function discard(result: AttemptResult): void {
	if (result.kind === attemptResultKinds.answered && !isWhole(result.body)) {
		result.body.destroy();
	}
}
