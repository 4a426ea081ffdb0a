/**
 * Whether a failed attempt is made again. Retries come from a share of first attempts for each
 * service. Along a chain of calls only the layer next to the failure retries: a request that is
 * itself part of a retry says so to the layers below, and the whole answer of a server, even one
 * that reports an error, is never asked for again: the layers below it have retried already.
 */
import {trySpendExtraAttempt, type ExtraAttemptBudget} from './extra-attempt-budget.js';

/** What is known when an attempt failed. */
export type RetryRequest = {
	/** Whether the call may run twice, or the attempt provably did not run. */
	readonly isSafe: boolean;
	/** Retries that the chain of calls above this one has already made. */
	readonly retriesAbove: number;
	/** Whether the failure is the whole answer of a server, so that layers below had their say. */
	readonly isCompleteResponse: boolean;
	/** Monotonic time in milliseconds; infinite without a deadline. */
	readonly deadlineAt: number;
	/** What an attempt takes as a rule. */
	readonly expectedMilliseconds: number;
};

/**
 * Decides on a retry and spends it.
 *
 * @param budget the service's retry budget, changed in place
 * @param request what is known
 * @param now monotonic time in milliseconds
 * @returns whether to make another attempt
 */
export function tryRetry(
	budget: ExtraAttemptBudget,
	request: RetryRequest,
	now: number,
): boolean {
	if (!request.isSafe || request.retriesAbove > 0 || request.isCompleteResponse) {
		return false;
	}

	if (now + request.expectedMilliseconds >= request.deadlineAt) {
		return false;
	}

	return trySpendExtraAttempt(budget);
}
