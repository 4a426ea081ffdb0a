/**
 * Decides what follows an attempt: answer the caller, retry on another server, or end the call.
 * The functions are pure, so that table tests can cover every combination of outcome, method and
 * time.
 *
 * A call tracks its attempts that may have run. Before it reports `unknown` to its caller, it
 * asks their gates; attempts that provably did not run are dropped, and the rest decide the
 * outcome.
 */
import {attemptResultKinds, type AttemptResult} from './attempt-request.js';
import type {CallHead} from './head.js';
import {outcomes, type Outcome} from './outcome.js';
import {createRefusal, refusalKinds, type Refusal, type RefusalKind} from './refusal.js';

export const nextStepKinds = {
	/** Forward the server's response. */
	answer: 'answer',
	/** Try another server. */
	retry: 'retry',
	/** Ask the gates of attempts that may have run, then end the call with this refusal. */
	end: 'end',
} as const;

export type NextStep =
	| {readonly kind: typeof nextStepKinds.answer}
	| {readonly kind: typeof nextStepKinds.retry}
	| {readonly kind: typeof nextStepKinds.end; readonly refusal: Refusal};

/** The progress of a call when an attempt has settled. */
export type CallProgress = {
	/** Attempts made, including the one that has just settled. */
	readonly attempts: number;
	/** Whether the body can be sent again. */
	readonly replayable: boolean;
	/** Spends one retry of the budget, if any is left; called only if nothing else rules it out. */
	readonly grantRetry: () => boolean;
};

/** Maximum number of attempts per call, including the first. */
export const maximumAttempts = 4;

/** Refusals that do not imply that other servers of the service would refuse too. */
const serverSpecificRefusals: ReadonlySet<RefusalKind> = new Set([
	refusalKinds.leaving,
	refusalKinds.noServer,
	refusalKinds.overloaded,
	refusalKinds.serverFailed,
	refusalKinds.notReady,
]);

/**
 * Decides what follows an attempt.
 *
 * @param head the call
 * @param result how the attempt ended
 * @param progress the progress of the call
 * @param now monotonic time in milliseconds
 * @returns the next step
 */
export function decideNextStep(
	head: CallHead,
	result: AttemptResult,
	progress: CallProgress,
	now: number,
): NextStep {
	if (result.kind === attemptResultKinds.answered) {
		return {kind: nextStepKinds.answer};
	}

	const refusal =
		result.kind === attemptResultKinds.lost
			? createContactLostRefusal(head, result.message)
			: result.refusal;
	if (isRetryable(head, result) && mayRetry(head, progress, now)) {
		return {kind: nextStepKinds.retry};
	}

	return {kind: nextStepKinds.end, refusal};
}

/**
 * Decides the outcome of a call once the gates of attempts that may have run have been asked.
 *
 * @param head the call
 * @param mayHaveRun whether an attempt may still have run
 * @param progress the progress of the call
 * @param now monotonic time in milliseconds
 * @returns the outcome to report, or `undefined` if the call may be retried on another server
 */
export function decideOutcome(
	head: CallHead,
	mayHaveRun: boolean,
	progress: CallProgress,
	now: number,
): Outcome | undefined {
	if (mayHaveRun) {
		return outcomes.unknown;
	}

	return mayRetry(head, progress, now) ? undefined : outcomes.notRun;
}

function isRetryable(
	head: CallHead,
	result: Exclude<AttemptResult, {kind: typeof attemptResultKinds.answered}>,
): boolean {
	const mayHaveRun =
		result.kind === attemptResultKinds.lost || result.outcome !== outcomes.notRun;
	if (mayHaveRun) {
		return head.idempotent && !isProvenCrash(result);
	}

	return serverSpecificRefusals.has(result.refusal.kind);
}

/** A request that crashed a server while it ran alone would crash the next server too. */
function isProvenCrash(result: AttemptResult): boolean {
	return (
		result.kind === attemptResultKinds.refused &&
		result.refusal.kind === refusalKinds.crashProven
	);
}

function mayRetry(head: CallHead, progress: CallProgress, now: number): boolean {
	const hasTime = now < head.deadlineAt;
	const hasAttemptsLeft = progress.attempts < maximumAttempts;
	return hasTime && hasAttemptsLeft && progress.replayable && progress.grantRetry();
}

function createContactLostRefusal(head: CallHead, message: string): Refusal {
	const remedy = head.idempotent
		? 'the request is idempotent and may be sent again'
		: 'send it again with the same Idempotency-Key to learn what became of it';
	return createRefusal(
		refusalKinds.serverFailed,
		`contact with the server was lost (${message}): ${remedy}`,
	);
}
