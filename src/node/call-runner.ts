/**
 * Runs a call to its end: chooses a server, sends an attempt, and follows what becomes of it
 * until there is one result for the caller. It owns the calls that it runs.
 */
import {
	attemptResultKinds,
	decideOutcome,
	decideNextStep,
	isBuffered,
	nextSequence,
	nextStepKinds,
	outcomes,
	refusalKinds,
	type AttemptId,
	type AttemptRequest,
	type AttemptResult,
	type CallHead,
	type CallProgress,
	type Refusal,
	type RunningAttempt,
} from '../call/index.js';
import type {Member} from '../membership/index.js';
import {quarantineStatuses} from '../quarantine/index.js';
import {
	createCallState,
	createAttemptRequest,
	isCrash,
	isReplayable,
	recordResult,
	createNoServerRefusal,
	createQuarantinedRefusal,
	createWithdrawnRefusal,
	finishCall,
	createRefusedResult,
	discardResult,
	type CallState,
	type CallRequest,
} from './call-state.js';
import type {RequestQuarantine} from './request-quarantine.js';

/** What the runner needs of the node around it. */
export type CallRunnerOptions = {
	/** Names this life of the node in its attempts. */
	readonly ingressName: string;
	/** Wall clock in milliseconds; it only spaces the numbers of attempts. */
	readonly wallClock: () => number;
	/** Present time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	/** Picks a member for the next attempt, or `undefined` when none is left. */
	readonly chooseMember: (
		head: CallHead,
		excluded: ReadonlySet<string>,
	) => Member | undefined;
	/** Runs an attempt at a member's gate, this node's own included. */
	readonly send: (member: Member, request: AttemptRequest) => RunningAttempt;
	/** Asks a gate to cancel an attempt; true only if it was never and will never be dispatched. */
	readonly confirmNotRun: (
		member: Member,
		id: AttemptId,
		timeoutMilliseconds: number,
	) => Promise<boolean>;
	/** What is known of requests that crash servers. */
	readonly quarantine: Pick<
		RequestQuarantine,
		'judge' | 'noteCrash' | 'noteGoodRun' | 'tellSuspect'
	>;
	/** Whether the retry budget of a service grants one more attempt. */
	readonly grantRetry: (head: CallHead, result: AttemptResult) => boolean;
};

/** Runs a call; its result is an answer or a refusal, or lost after it was cancelled. */
export type RunCall = (request: CallRequest) => RunningAttempt;

/** A gate refuses in time by itself; the ingress waits this much longer before it gives up. */
const deadlineGraceMilliseconds = 20;
/** Even after the deadline a caller is better told late than told nothing certain. */
const proofGraceMilliseconds = 500;
const quarantineNoticeMilliseconds = 2000;
const secondRoundDelayMilliseconds = 20;

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
		const call = createCallState(request, settle);
		const timer = setTimeout(
			() => {
				expire(call);
			},
			call.head.deadlineAt - options.now() + deadlineGraceMilliseconds,
		);
		void result.then(settled => {
			clearTimeout(timer);
			tellIfUnresolved(call, settled);
		});
		start(call);
		return {
			result,
			cancel() {
				call.running?.cancel();
				finishCall(call, {kind: attemptResultKinds.lost, message: 'cancelled'});
			},
		};
	}

	/** A large body is bounded by its progress, not by the deadline. */
	function expire(call: CallState): void {
		if (isBuffered(call.body)) {
			call.running?.cancel();
		}
	}

	function tellIfUnresolved(call: CallState, result: AttemptResult): void {
		const isResolved =
			result.kind === attemptResultKinds.answered ||
			(result.kind === attemptResultKinds.refused &&
				result.refusal.kind === refusalKinds.crashProven);
		if (call.suspect && !isResolved) {
			options.quarantine.tellSuspect(call.head, call.body);
		}
	}

	function start(call: CallState): void {
		const verdict = options.quarantine.judge(call.head, call.body);
		if (verdict === quarantineStatuses.proven) {
			finishCall(call, createRefusedResult(createQuarantinedRefusal(), outcomes.notRun));
			return;
		}

		call.suspect = verdict === quarantineStatuses.suspect;
		tryNext(call);
	}

	function tryNext(call: CallState): void {
		const member = options.chooseMember(call.head, call.excluded);
		if (member) {
			void attempt(call, member);
			return;
		}

		if (call.excluded.size > 0 && !call.overloaded) {
			tryAllAgain(call);
			return;
		}

		endRefused(call, createNoServerRefusal(call));
	}

	/** Every server was tried; one that failed a moment ago may be reached by now. */
	function tryAllAgain(call: CallState): void {
		call.excluded.clear();
		setTimeout(() => {
			if (!call.finished) {
				tryNext(call);
			}
		}, secondRoundDelayMilliseconds);
	}

	async function attempt(call: CallState, member: Member): Promise<void> {
		sequence = nextSequence(sequence, options.wallClock());
		const id = {ingress: options.ingressName, sequence};
		call.attempts += 1;
		call.excluded.add(member.nodeId);
		const running = options.send(member, createAttemptRequest(call, id));
		call.running = running;
		const result = await running.result;
		call.running = undefined;
		if (call.finished) {
			discardResult(result);
			return;
		}

		recordResult(call, {member, id}, result);
		watchForCrash(call, result);
		follow(call, result);
	}

	function watchForCrash(call: CallState, result: AttemptResult): void {
		const {quarantine: crashWatch} = options;
		if (result.kind === attemptResultKinds.answered && call.suspect) {
			crashWatch.noteGoodRun(call.head, call.body);
			return;
		}

		if (result.kind !== attemptResultKinds.refused) {
			return;
		}

		const {kind} = result.refusal;
		if (kind === refusalKinds.serverCrashed || kind === refusalKinds.crashProven) {
			call.suspect = true;
			crashWatch.noteCrash(call.head, call.body, kind === refusalKinds.crashProven);
		}
	}

	function follow(call: CallState, result: AttemptResult): void {
		const progress = describeProgress(call, result);
		const step = decideNextStep(call.head, result, progress, options.now());
		switch (step.kind) {
			case nextStepKinds.answer: {
				finishCall(call, result);
				return;
			}

			case nextStepKinds.retry: {
				tryNext(call);
				return;
			}

			case nextStepKinds.end: {
				endRefused(call, step.refusal);
			}
		}
	}

	function endRefused(call: CallState, refusal: Refusal): void {
		if (refusal.kind === refusalKinds.crashProven) {
			// Its caller sends it again once it is answered; by then every ingress must know.
			setTimeout(() => {
				finishCall(call, createRefusedResult(refusal, outcomes.unknown));
			}, quarantineNoticeMilliseconds);
			return;
		}

		if (call.mayHaveRunAtGate || call.unresolvedAttempts.length === 0) {
			const outcome = call.mayHaveRunAtGate ? outcomes.unknown : outcomes.notRun;
			finishCall(call, createRefusedResult(refusal, outcome));
			return;
		}

		void endAfterProof(call, refusal);
	}

	/** Asks the gates of the doubtful attempts before the caller is told anything. */
	async function endAfterProof(call: CallState, refusal: Refusal): Promise<void> {
		const remaining = call.head.deadlineAt - options.now();
		const timeout = Math.max(remaining, 0) + proofGraceMilliseconds;
		const proofs = await Promise.all(
			call.unresolvedAttempts.map(async ({member, id}) =>
				options.confirmNotRun(member, id, timeout),
			),
		);
		if (call.finished) {
			return;
		}

		call.unresolvedAttempts = call.unresolvedAttempts.filter(
			(_doubt, index) => !proofs[index],
		);
		const mayHaveRun = call.unresolvedAttempts.length > 0;
		const progress = describeProgress(
			call,
			createRefusedResult(refusal, outcomes.notRun),
		);
		const outcome = decideOutcome(call.head, mayHaveRun, progress, options.now());
		if (outcome === undefined) {
			tryNext(call);
			return;
		}

		finishCall(
			call,
			createRefusedResult(mayHaveRun ? refusal : createWithdrawnRefusal(), outcome),
		);
	}

	function describeProgress(call: CallState, result: AttemptResult): CallProgress {
		return {
			attempts: call.attempts,
			replayable: isReplayable(call.body),
			// A crash costs no more retries than the server had slots, and they run alone.
			grantRetry: () => isCrash(result) || options.grantRetry(call.head, result),
		};
	}

	return runCall;
}
