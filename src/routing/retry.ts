/**
 * Whether a failed attempt is made again. Retries come from a share of first attempts for each
 * service. Along a chain of calls only the layer next to the failure retries: a request that is
 * itself part of a retry says so to the layers below, and an answer for which a layer below has
 * already retried, or had no budget to, says so to the layers above.
 */
import {trySpendExtra, type ShareBudget} from './share-budget.js';

/** On a request: it is part of a retry further up. On an answer: the layer below is done. */
export const retryHeaderName = 'foxtailtide-retry';
export const retryHeaderValue = 'spent';

/** What is known when an attempt failed. */
export type RetryRequest = {
	/** Whether the call may run twice, or the attempt provably did not run. */
	readonly isSafe: boolean;
	/** Value of the retry header of the request that came in. */
	readonly requestHeader: string | undefined;
	/** Value of the retry header of the answer that failed, if there was one. */
	readonly answerHeader: string | undefined;
	/** Monotonic time in milliseconds; infinite without a deadline. */
	readonly deadlineAt: number;
	/** What an attempt takes as a rule. */
	readonly typicalMilliseconds: number;
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
	budget: ShareBudget,
	request: RetryRequest,
	now: number,
): boolean {
	const isSpent =
		request.requestHeader === retryHeaderValue ||
		request.answerHeader === retryHeaderValue;
	if (!request.isSafe || isSpent) {
		return false;
	}

	if (now + request.typicalMilliseconds >= request.deadlineAt) {
		return false;
	}

	return trySpendExtra(budget);
}
