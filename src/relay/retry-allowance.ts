/** The retry budget of a gate, with the refusal of a retry that is beyond it. */
import {createRefusal, refusalKinds, type Refusal} from '../call/index.js';
import {
	createRetryBudget,
	recordFirstAttempt,
	recordRepeatedCall,
	trySpendRetry,
} from '../repeats/index.js';
import type {RelayAttempt} from './call.js';
import type {RelayGateOptions} from './gate-types.js';

/** A retry that is refused, with figures for the log. */
export type RetryExcess = {
	readonly refusal: Refusal;
	readonly details: Record<string, unknown>;
};

export type RetryAllowance = {
	/** Records an attempt; a retry is refused when the budget is spent. */
	readonly record: (attempt: RelayAttempt) => RetryExcess | undefined;
};

/**
 * Creates the allowance of a gate that has had no attempts.
 *
 * @param options the policy, the number of gates that share it, and the clock
 * @returns the allowance
 */
export function createRetryAllowance(
	options: Pick<RelayGateOptions, 'retryPolicy' | 'countGates' | 'now'>,
): RetryAllowance {
	const {retryPolicy, now} = options;
	const budget = createRetryBudget();
	return {
		record({isRetry, call}) {
			if (!isRetry) {
				const recordAttempt = call.repeated ? recordRepeatedCall : recordFirstAttempt;
				recordAttempt(budget, retryPolicy, now());
				return undefined;
			}

			const gates = options.countGates();
			if (trySpendRetry(budget, retryPolicy, gates, now())) {
				return undefined;
			}

			const message = 'the retry budget is spent: try again later';
			return {
				refusal: createRefusal(refusalKinds.overloaded, message),
				details: {
					budget: 'repeats',
					gates,
					repeats: budget.retries.length,
					firsts: budget.firstAttempts.length,
				},
			};
		},
	};
}
