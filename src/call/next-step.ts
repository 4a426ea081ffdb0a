/**
 * What follows an attempt: answer the caller, try again elsewhere, or first ask the gate
 * whether the attempt ever reached the server. Pure, so that every combination of outcome,
 * method and time can be held in a table.
 *
 * An attempt that may have run stays in the account of the call: when a later attempt is
 * refused, the caller is told `unknown`, not `not-run`.
 */
import {attemptResultKinds, type AttemptResult} from './attempt-request.js';
import type {CallHead} from './head.js';
import {outcomes, type Outcome} from './outcome.js';
import {createRefusal, refusalKinds, type Refusal, type RefusalKind} from './refusal.js';

export const nextStepKinds = {
	/** Pass the server's answer on. */
	answer: 'answer',
	/** Tell the caller that its request is refused. */
	refuse: 'refuse',
	/** Try another server. */
	retry: 'retry',
	/** Ask the gate to cancel the attempt and say whether it was ever dispatched. */
	confirm: 'confirm',
} as const;

export type NextStep =
	| {readonly kind: typeof nextStepKinds.answer}
	| {
			readonly kind: typeof nextStepKinds.refuse;
			readonly refusal: Refusal;
			readonly outcome: Outcome;
	  }
	| {readonly kind: typeof nextStepKinds.retry}
	| {readonly kind: typeof nextStepKinds.confirm};

/** How a call stands when an attempt has settled. */
export type CallProgress = {
	/** Attempts made, with the one that has just settled. */
	readonly attempts: number;
	/** Whether an earlier attempt may have run. */
	readonly mayHaveRun: boolean;
	/** Whether the body can be sent again. */
	readonly replayable: boolean;
	/** Whether the gate has been asked about this attempt already. */
	readonly confirmed: boolean;
	/** Whether the retry budget grants one more attempt after a failure. */
	readonly retryGranted: boolean;
};

/** Attempts per call at the most, the first included. */
export const maximumAttempts = 4;

/** Refusals that say nothing of the other servers of the service. */
const localRefusals: ReadonlySet<RefusalKind> = new Set([
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

	if (result.kind === attemptResultKinds.lost) {
		return decideAfterLoss(head, result.message, progress, now);
	}

	if (result.outcome !== outcomes.notRun) {
		return decideAfterUnknown(head, result.refusal, progress, now);
	}

	if (localRefusals.has(result.refusal.kind) && mayTryAgain(head, progress, now)) {
		return {kind: nextStepKinds.retry};
	}

	const outcome = progress.mayHaveRun ? outcomes.unknown : outcomes.notRun;
	return {kind: nextStepKinds.refuse, refusal: result.refusal, outcome};
}

function decideAfterLoss(
	head: CallHead,
	message: string,
	progress: CallProgress,
	now: number,
): NextStep {
	if (head.idempotent && mayTryAgain(head, progress, now)) {
		return {kind: nextStepKinds.retry};
	}

	if (!progress.confirmed) {
		return {kind: nextStepKinds.confirm};
	}

	return {
		kind: nextStepKinds.refuse,
		refusal: createLoss(head, message),
		outcome: outcomes.unknown,
	};
}

function decideAfterUnknown(
	head: CallHead,
	refusal: Refusal,
	progress: CallProgress,
	now: number,
): NextStep {
	if (head.idempotent && mayTryAgain(head, progress, now)) {
		return {kind: nextStepKinds.retry};
	}

	return {kind: nextStepKinds.refuse, refusal, outcome: outcomes.unknown};
}

function mayTryAgain(head: CallHead, progress: CallProgress, now: number): boolean {
	const inTime = now < head.deadlineAt;
	const inBounds = progress.attempts < maximumAttempts && progress.retryGranted;
	return inTime && inBounds && progress.replayable;
}

function createLoss(head: CallHead, message: string): Refusal {
	const remedy = head.idempotent
		? 'the request is idempotent and may be sent again'
		: 'send it again with the same Idempotency-Key to learn what became of it';
	return createRefusal(
		refusalKinds.serverFailed,
		`contact with the server was lost (${message}): ${remedy}`,
	);
}
