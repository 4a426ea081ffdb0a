/**
 * The ingress: takes calls from callers, picks a server for each, and answers with the server's
 * whole answer or a typed refusal that says truthfully whether the request ran. It owns the data
 * listener and the calls in flight on it.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {
	attemptResultKinds,
	copyEndToEndHeaders,
	createRefusal,
	decideNextStep,
	isWhole,
	nextSequence,
	nextStepKinds,
	outcomes,
	parseCallHead,
	refusalKinds,
	type AttemptId,
	type AttemptRequest,
	type AttemptResult,
	type Body,
	type CallHead,
	type CallPolicy,
	type RunningAttempt,
} from '../call/index.js';
import type {Member} from '../membership/index.js';
import {writeAnswer, writeRefusal} from './answer.js';
import {refuseMalformed} from './malformed-request.js';
import {hasSmallBody, readSmallBody} from './request-body.js';

/** What the ingress needs of the node around it. */
export type IngressOptions = {
	/** Names this life of the node in its attempts. */
	readonly ingressName: string;
	/** Wall clock in milliseconds; it only spaces the numbers of attempts. */
	readonly wallClock: () => number;
	/** Present time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	readonly findPolicy: (service: string) => CallPolicy | undefined;
	/** Picks a member for the next attempt, or `undefined` when none is left. */
	readonly choose: (head: CallHead, excluded: ReadonlySet<string>) => Member | undefined;
	/** Runs an attempt at a member's gate, this node's own included. */
	readonly send: (member: Member, request: AttemptRequest) => RunningAttempt;
	/** Asks a gate to cancel an attempt; true only if it was never and will never be dispatched. */
	readonly confirmNotRun: (member: Member, id: AttemptId) => Promise<boolean>;
	/** Whether the retry budget of a service grants one more attempt. */
	readonly grantRetry: (head: CallHead) => boolean;
};

export type Ingress = {
	/** The data listener; the caller binds it. */
	readonly server: Server;
	/** From now on each answer closes its connection, so that callers go elsewhere. */
	readonly setLeaving: () => void;
	readonly state: () => IngressState;
	/** Resolves once no call is in flight. */
	readonly drained: () => Promise<void>;
};

export type IngressState = {
	readonly inFlight: number;
	readonly calls: number;
	readonly leaving: boolean;
};

/** A call under way. */
type Call = {
	readonly head: CallHead;
	readonly headers: readonly string[];
	readonly body: Body;
	readonly response: ServerResponse;
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
const headTimeoutMilliseconds = 10_000;
const idleConnectionMilliseconds = 60_000;
const headLimitBytes = 16_384;

/**
 * Creates the ingress.
 *
 * @param options what the ingress needs of the node around it
 * @returns the ingress, not yet listening
 */
export function createIngress(options: IngressOptions): Ingress {
	const server = createServer({
		keepAliveTimeout: idleConnectionMilliseconds,
		headersTimeout: headTimeoutMilliseconds,
		// A large upload may be slow; a request is bounded by its deadline instead.
		requestTimeout: 0,
		maxHeaderSize: headLimitBytes,
		noDelay: true,
	});
	const idleWaiters: Array<() => void> = [];
	let inFlight = 0;
	let calls = 0;
	let sequence = 0;
	let leaving = false;

	function receive(request: IncomingMessage, response: ServerResponse): void {
		calls += 1;
		inFlight += 1;
		response.once('close', settleCall);
		if (leaving) {
			response.shouldKeepAlive = false;
		}

		const parsed = parseCallHead(
			{
				method: request.method!,
				path: request.url!,
				headers: request.headers,
				remoteAddress: request.socket.remoteAddress ?? 'unknown',
			},
			options.findPolicy,
			options.now(),
		);
		if (parsed.isErr()) {
			writeRefusal(response, parsed.error, outcomes.notRun);
			return;
		}

		receiveBody(parsed.value, request, response);
	}

	function settleCall(): void {
		inFlight -= 1;
		if (inFlight > 0) {
			return;
		}

		for (const wake of idleWaiters.splice(0)) {
			wake();
		}
	}

	function receiveBody(
		head: CallHead,
		request: IncomingMessage,
		response: ServerResponse,
	): void {
		const headers = copyEndToEndHeaders(request.rawHeaders);
		if (!hasSmallBody(request)) {
			startCall(createCall(head, headers, request, response));
			return;
		}

		readSmallBody(request, body => {
			startCall(createCall(head, headers, body, response));
		});
	}

	function startCall(call: Call): void {
		const timer = setTimeout(
			() => {
				expire(call);
			},
			call.head.deadlineAt - options.now() + deadlineGraceMilliseconds,
		);
		call.response.once('close', () => {
			clearTimeout(timer);
			call.finished = true;
			call.running?.cancel();
		});
		tryNext(call);
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
			finishRefused(call, refusal, call.mayHaveRun ? outcomes.unknown : outcomes.notRun);
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
				result.kind === attemptResultKinds.answered || options.grantRetry(call.head),
		};
		const step = decideNextStep(call.head, result, progress, options.now());
		switch (step.kind) {
			case nextStepKinds.answer: {
				finishAnswered(call, result);
				return;
			}

			case nextStepKinds.refuse: {
				finishRefused(call, step.refusal, step.outcome);
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

	server.on('request', receive);
	server.on('clientError', refuseMalformed);
	return {
		server,
		setLeaving() {
			leaving = true;
		},
		state: () => ({inFlight, calls, leaving}),
		async drained() {
			if (inFlight === 0) {
				return;
			}

			await new Promise<void>(resolve => {
				idleWaiters.push(resolve);
			});
		},
	};
}

function createCall(
	head: CallHead,
	headers: readonly string[],
	body: Body,
	response: ServerResponse,
): Call {
	return {
		head,
		headers,
		body,
		response,
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

function finishAnswered(call: Call, result: AttemptResult): void {
	call.finished = true;
	if (result.kind === attemptResultKinds.answered) {
		writeAnswer(call.response, result);
	}
}

function finishRefused(
	call: Call,
	refusal: Parameters<typeof writeRefusal>[1],
	outcome: Parameters<typeof writeRefusal>[2],
): void {
	call.finished = true;
	writeRefusal(call.response, refusal, outcome);
}

/** A late answer nobody waits for: its stream is closed so that its connection is freed. */
function discard(result: AttemptResult): void {
	if (result.kind === attemptResultKinds.answered && !isWhole(result.body)) {
		result.body.destroy();
	}
}
