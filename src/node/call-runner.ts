/**
 * Runs a call to its end: chooses a server, sends an attempt, and retries or confirms
 * outcomes until there is one result for the caller. It owns the calls that it runs.
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

/** Dependencies of the call runner. */
export type CallRunnerOptions = {
	/** Identifies this incarnation of the node in its attempts. */
	readonly ingressName: string;
	/** Wall clock in milliseconds; used only for the sequence numbers of attempts. */
	readonly wallClock: () => number;
	/** Current time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	/** Chooses a member for the next attempt, or `undefined` when none is left. */
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
	/** Requests that crashed or may crash servers. */
	readonly quarantine: Pick<
		RequestQuarantine,
		'findStatus' | 'recordCrash' | 'recordSuccess' | 'announceSuspect'
	>;
	/** Whether one more attempt may be sent; spends from the service's retry budget. */
	readonly grantRetry: (head: CallHead, result: AttemptResult) => boolean;
};

/** Runs a call; its result is a response or a refusal, or `lost` after it was cancelled. */
export type RunCall = (request: CallRequest) => RunningAttempt;

/** Gates enforce the deadline themselves; the ingress waits this much longer before it cancels. */
const deadlineGraceMilliseconds = 20;
/**
 * Time after the deadline for gates to confirm non-execution: a late outcome is better than an
 * unknown one.
 */
const cancellationGraceMilliseconds = 500;
/** Delays the refusal after a proven crash until the quarantine has reached every ingress. */
const quarantineSpreadMilliseconds = 2000;
const secondRoundDelayMilliseconds = 20;

/**
 * Creates the runner.
 *
 * @param options its dependencies
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
				handleDeadline(call);
			},
			call.head.deadlineAt - options.now() + deadlineGraceMilliseconds,
		);
		void result.then(settled => {
			clearTimeout(timer);
			announceIfUnresolved(call, settled);
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

	/** A streamed body is bounded by its progress, not by the deadline. */
	function handleDeadline(call: CallState): void {
		if (isBuffered(call.body)) {
			call.running?.cancel();
		}
	}

	function announceIfUnresolved(call: CallState, result: AttemptResult): void {
		const isResolved =
			result.kind === attemptResultKinds.answered ||
			(result.kind === attemptResultKinds.refused &&
				result.refusal.kind === refusalKinds.crashProven);
		if (call.suspect && !isResolved) {
			options.quarantine.announceSuspect(call.head, call.body);
		}
	}

	function start(call: CallState): void {
		const status = options.quarantine.findStatus(call.head, call.body);
		if (status === quarantineStatuses.proven) {
			finishCall(call, createRefusedResult(createQuarantinedRefusal(), outcomes.notRun));
			return;
		}

		call.suspect = status === quarantineStatuses.suspect;
		tryNext(call);
	}

	function tryNext(call: CallState): void {
		const member = options.chooseMember(call.head, call.excluded);
		if (member) {
			void sendAttempt(call, member);
			return;
		}

		if (call.excluded.size > 0 && !call.overloaded) {
			startSecondRound(call);
			return;
		}

		finishRefused(call, createNoServerRefusal(call));
	}

	/** Starts over after every server was tried: one that failed may be reachable again. */
	function startSecondRound(call: CallState): void {
		call.excluded.clear();
		setTimeout(() => {
			if (!call.finished) {
				tryNext(call);
			}
		}, secondRoundDelayMilliseconds);
	}

	async function sendAttempt(call: CallState, member: Member): Promise<void> {
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
		recordCrashOrSuccess(call, result);
		handleResult(call, result);
	}

	function recordCrashOrSuccess(call: CallState, result: AttemptResult): void {
		const {quarantine} = options;
		if (result.kind === attemptResultKinds.answered && call.suspect) {
			quarantine.recordSuccess(call.head, call.body);
			return;
		}

		if (result.kind !== attemptResultKinds.refused) {
			return;
		}

		const {kind} = result.refusal;
		if (kind === refusalKinds.serverCrashed || kind === refusalKinds.crashProven) {
			call.suspect = true;
			quarantine.recordCrash(call.head, call.body, kind === refusalKinds.crashProven);
		}
	}

	function handleResult(call: CallState, result: AttemptResult): void {
		const progress = createProgress(call, result);
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
				finishRefused(call, step.refusal);
			}
		}
	}

	function finishRefused(call: CallState, refusal: Refusal): void {
		if (refusal.kind === refusalKinds.crashProven) {
			// The caller may resend it after the refusal; by then every ingress must refuse it.
			setTimeout(() => {
				finishCall(call, createRefusedResult(refusal, outcomes.unknown));
			}, quarantineSpreadMilliseconds);
			return;
		}

		if (call.mayHaveRunAtGate || call.unresolvedAttempts.length === 0) {
			const outcome = call.mayHaveRunAtGate ? outcomes.unknown : outcomes.notRun;
			finishCall(call, createRefusedResult(refusal, outcome));
			return;
		}

		void finishAfterCancellation(call, refusal);
	}

	/** Asks the gates of the unresolved attempts to cancel them before the caller gets an outcome. */
	async function finishAfterCancellation(
		call: CallState,
		refusal: Refusal,
	): Promise<void> {
		const remainingMilliseconds = call.head.deadlineAt - options.now();
		const timeoutMilliseconds =
			Math.max(remainingMilliseconds, 0) + cancellationGraceMilliseconds;
		const confirmed = await Promise.all(
			call.unresolvedAttempts.map(async ({member, id}) =>
				options.confirmNotRun(member, id, timeoutMilliseconds),
			),
		);
		if (call.finished) {
			return;
		}

		call.unresolvedAttempts = call.unresolvedAttempts.filter(
			(_attempt, index) => !confirmed[index],
		);
		const mayHaveRun = call.unresolvedAttempts.length > 0;
		const progress = createProgress(call, createRefusedResult(refusal, outcomes.notRun));
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

	function createProgress(call: CallState, result: AttemptResult): CallProgress {
		return {
			attempts: call.attempts,
			replayable: isReplayable(call.body),
			// Not budgeted: a crash causes at most one retry per slot of the server, each run alone.
			grantRetry: () => isCrash(result) || options.grantRetry(call.head, result),
		};
	}

	return runCall;
}
