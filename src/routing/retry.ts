/**
 * Decides whether a failed attempt is retried. Retries are limited to a share of a service's first
 * attempts. Along a chain of calls only the layer next to the failure retries: a request that is
 * part of a retry carries this to the layers below, and a complete response of a server, even an
 * error, is never retried, since the layers below have already retried.
 */
import {trySpendExtraAttempt, type ExtraAttemptBudget} from './extra-attempt-budget.js';

/** A failed attempt that may be retried. */
export type RetryRequest = {
	/** Whether the call may run twice, or the attempt provably did not run. */
	readonly isSafe: boolean;
	/** Retries already made by the calls that led to this one. */
	readonly retriesAbove: number;
	/** Whether the failure is a complete server response, already retried by the layers below. */
	readonly isCompleteResponse: boolean;
	/** Monotonic time in milliseconds; infinite without a deadline. */
	readonly deadlineAt: number;
	/** Expected duration of an attempt. */
	readonly expectedMilliseconds: number;
};

/**
 * Spends a retry if the attempt may be retried and the budget allows it.
 *
 * @param budget the service's retry budget, changed in place
 * @param request the failed attempt
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
