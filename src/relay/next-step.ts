/**
 * Decides what follows an attempt in the relay. Pure functions, so that a table of tests can cover
 * the combinations of result, kind of request and time left.
 *
 * Load pattern: servers that fail, shed, lose responses or leave under load. A request that may
 * have run is retried only if it is idempotent; one that has not run may always go elsewhere.
 */
import {
	attemptResultKinds,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type RefusalKind,
} from '../call/index.js';

export const relaySteps = {
	/** Return the server's response to the caller. */
	answer: 'answer',
	/** Offer the call to another gate; it reached no server. */
	offer: 'offer',
	/** Send the call again; it reached a server. */
	retry: 'repeat',
	/** End the call without a response. */
	end: 'end',
} as const;

export type RelayStep = (typeof relaySteps)[keyof typeof relaySteps];

/** State of a call when an attempt has ended. */
export type CallProgress = {
	readonly idempotent: boolean;
	/** Whether the body can be sent again. */
	readonly replayable: boolean;
	/** Attempts that reached a server, including the one that has just ended. */
	readonly serverAttempts: number;
	readonly maximumAttempts: number;
	/** Offers to gates, including the one that has just ended. */
	readonly offers: number;
	/** Refusals by gates in a row, including the one that has just ended an offer. */
	readonly refusalsInRow: number;
	/** Time left until the deadline. */
	readonly remainingMilliseconds: number;
};

/** Limit on offers per call, since each makes a gate check its queue. */
const maximumOffers = 6;
/**
 * Overloaded gates that may refuse a retry. What makes the first refuse it, load or the limit on
 * retries, mostly holds for the others too, and each refusal takes a round trip.
 */
const maximumRetryRefusals = 2;
/** With less time left than this, another attempt cannot succeed. */
const minimumAttemptMilliseconds = 10;
const firstFailureStatus = 500;

/** Refusals that concern one gate only; another gate may accept the call. */
const gateSpecificRefusals: ReadonlySet<RefusalKind> = new Set([
	refusalKinds.leaving,
	refusalKinds.noServer,
	refusalKinds.overloaded,
]);

/**
 * Tells whether an attempt reached the server.
 *
 * @param result the result of the attempt
 * @returns whether the server received it, or may have
 */
export function reachedServer(result: AttemptResult): boolean {
	if (result.kind !== attemptResultKinds.refused) {
		return true;
	}

	// A shed request reached the server although it did not run.
	return (
		result.outcome !== outcomes.notRun ||
		result.refusal.kind === refusalKinds.serverFailed
	);
}

/**
 * Decides what follows an attempt.
 *
 * @param result the result of the attempt
 * @param progress the state of the call
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

	const isProvenCause =
		result.kind === attemptResultKinds.refused &&
		result.refusal.kind === refusalKinds.crashProven;
	if (isProvenCause) {
		return relaySteps.end;
	}

	if (result.kind === attemptResultKinds.lost || result.outcome !== outcomes.notRun) {
		return progress.idempotent && mayRetry(progress) ? relaySteps.retry : relaySteps.end;
	}

	if (result.refusal.kind === refusalKinds.serverFailed) {
		return mayRetry(progress) ? relaySteps.retry : relaySteps.end;
	}

	const isRetryRefused =
		progress.serverAttempts > 0 &&
		result.refusal.kind === refusalKinds.overloaded &&
		progress.refusalsInRow >= maximumRetryRefusals;
	return gateSpecificRefusals.has(result.refusal.kind) &&
		maySendAgain(progress) &&
		!isRetryRefused
		? relaySteps.offer
		: relaySteps.end;
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
