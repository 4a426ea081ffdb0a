/**
 * What follows an attempt in the relay. Pure, so that every combination of result, kind of work
 * and time can be held in a table.
 *
 * Load pattern: servers that fail, shed, lose answers or leave under load, where a repeat of what
 * may have run is allowed only for idempotent work, and what has not run may always go elsewhere.
 */
import {
	attemptResultKinds,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type RefusalKind,
} from '../call/index.js';

export const relaySteps = {
	/** Pass the server's answer on. */
	answer: 'answer',
	/** Offer the call to another gate; no server had it. */
	offer: 'offer',
	/** Send the call again; a server has had it. */
	retry: 'repeat',
	/** End the call. */
	finishWithoutResponse: 'end',
} as const;

export type RelayStep = (typeof relaySteps)[keyof typeof relaySteps];

/** How a call stands when an attempt has settled. */
export type CallProgress = {
	readonly idempotent: boolean;
	/** Whether the body can be sent again. */
	readonly replayable: boolean;
	/** Attempts that reached a server, with the one that has just settled. */
	readonly serverAttempts: number;
	readonly maximumAttempts: number;
	/** Offers made, with the one that has just settled. */
	readonly offers: number;
	/** Time left until the deadline. */
	readonly remainingMilliseconds: number;
};

/** Offers for each call at the most; each costs the gate a look at its queue. */
const maximumOffers = 6;
/** A try that has less time than this left cannot end well, in milliseconds. */
const minimumAttemptMilliseconds = 10;
const firstFailureStatus = 500;

/** Refusals of one gate that say nothing of the others. */
const gateSpecificRefusals: ReadonlySet<RefusalKind> = new Set([
	refusalKinds.leaving,
	refusalKinds.noServer,
	refusalKinds.overloaded,
]);

/**
 * Tells whether an attempt reached the server.
 *
 * @param result what became of the attempt
 * @returns whether the server had it, or may have had it
 */
export function reachedServer(result: AttemptResult): boolean {
	if (result.kind !== attemptResultKinds.refused) {
		return true;
	}

	// A shed request arrived although it did not run.
	return (
		result.outcome !== outcomes.notRun ||
		result.refusal.kind === refusalKinds.serverFailed
	);
}

/**
 * Decides what follows an attempt.
 *
 * @param result what became of the attempt
 * @param progress how the call stands
 * @returns the next step
 */
export function decideRelayStep(
	result: AttemptResult,
	progress: CallProgress,
): RelayStep {
	if (result.kind === attemptResultKinds.answered) {
		const isFailure = result.status >= firstFailureStatus;
		return isFailure && progress.idempotent && mayRetry(progress)
			? relaySteps.retry
			: relaySteps.answer;
	}

	if (result.kind === attemptResultKinds.lost || result.outcome !== outcomes.notRun) {
		return progress.idempotent && mayRetry(progress)
			? relaySteps.retry
			: relaySteps.finishWithoutResponse;
	}

	if (result.refusal.kind === refusalKinds.serverFailed) {
		return mayRetry(progress) ? relaySteps.retry : relaySteps.finishWithoutResponse;
	}

	return gateSpecificRefusals.has(result.refusal.kind) && maySendAgain(progress)
		? relaySteps.offer
		: relaySteps.finishWithoutResponse;
}

function mayRetry(progress: CallProgress): boolean {
	return progress.serverAttempts < progress.maximumAttempts && maySendAgain(progress);
}

function maySendAgain(progress: CallProgress): boolean {
	return (
		progress.replayable &&
		progress.offers < maximumOffers &&
		progress.remainingMilliseconds > minimumAttemptMilliseconds
	);
}
