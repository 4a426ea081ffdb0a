/**
 * What follows an attempt: answer the caller, try again elsewhere, or end the call. Pure, so
 * that every combination of outcome, method and time can be held in a table.
 *
 * A call keeps an account of its attempts that may have run. Before it tells its caller
 * `unknown`, it asks the gates of the doubtful ones; what they disprove is struck off, and
 * what remains decides the outcome.
 */
import {attemptResultKinds, type AttemptResult} from './attempt-request.js';
import type {CallHead} from './head.js';
import {outcomes, type Outcome} from './outcome.js';
import {createRefusal, refusalKinds, type Refusal, type RefusalKind} from './refusal.js';

export const nextStepKinds = {
	/** Pass the server's answer on. */
	answer: 'answer',
	/** Try another server. */
	retry: 'retry',
	/** Ask the gates of doubtful attempts, then end the call with this refusal. */
	end: 'end',
} as const;

export type NextStep =
	| {readonly kind: typeof nextStepKinds.answer}
	| {readonly kind: typeof nextStepKinds.retry}
	| {readonly kind: typeof nextStepKinds.end; readonly refusal: Refusal};

/** How a call stands when an attempt has settled. */
export type CallProgress = {
	/** Attempts made, with the one that has just settled. */
	readonly attempts: number;
	/** Whether the body can be sent again. */
	readonly replayable: boolean;
	/** Spends one retry of the budget, if it holds one; asked only when nothing else forbids it. */
	readonly grantRetry: () => boolean;
};

/** Attempts per call at the most, the first included. */
export const maximumAttempts = 4;

/** Refusals that say nothing of the other servers of the service. */
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
 * @param result what became of the attempt
 * @param progress how the call stands
 * @param now present time, milliseconds of the monotonic clock
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
	if (isRetryable(head, result) && mayTryAgain(head, progress, now)) {
		return {kind: nextStepKinds.retry};
	}

	return {kind: nextStepKinds.end, refusal};
}

/**
 * Decides how a call ends once the gates of its doubtful attempts have been asked.
 *
 * @param head the call
 * @param mayHaveRun whether an attempt may have run after all
 * @param progress how the call stands
 * @param now present time, milliseconds of the monotonic clock
 * @returns the outcome to tell, or `undefined` when the call may still be tried elsewhere
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

	return mayTryAgain(head, progress, now) ? undefined : outcomes.notRun;
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

/** A request that crashed a server while it ran alone would crash the next one. */
function isProvenCrash(result: AttemptResult): boolean {
	return (
		result.kind === attemptResultKinds.refused &&
		result.refusal.kind === refusalKinds.crashProven
	);
}

function mayTryAgain(head: CallHead, progress: CallProgress, now: number): boolean {
	const inTime = now < head.deadlineAt;
	const inBounds = progress.attempts < maximumAttempts;
	return inTime && inBounds && progress.replayable && progress.grantRetry();
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
