/**
 * The retry budget of a gate, with the refusal of a retry that is beyond it. Attempts count when they are sent to
 * the server: one that the gate refuses is offered to other gates, which would all count it. Retries that wait
 * hold their part of the budget.
 */
import {
	createRefusal,
	formatAttemptId,
	refusalKinds,
	type Refusal,
} from '../call/index.js';
import {
	createRecentMaximum,
	createRetryBudget,
	mayRetry,
	recordFirstAttempt,
	recordMaximum,
	recordRetry,
} from '../repeats/index.js';
import type {RelayAttempt} from './call.js';
import type {RelayGateOptions} from './gate-types.js';

/** A retry that is refused, with figures for the log. */
export type RetryExcess = {
	readonly refusal: Refusal;
	readonly details: Record<string, unknown>;
};

export type RetryAllowance = {
	/** Reserves budget for a retry; it is refused when the budget is spent. */
	readonly reserve: (attempt: RelayAttempt) => RetryExcess | undefined;
	/** Records an attempt that is sent to the server. */
	readonly recordDispatch: (attempt: RelayAttempt) => void;
	/** Returns what a retry had reserved that is refused after all. */
	readonly release: (attempt: RelayAttempt) => void;
};

/** How long gates that went out of sight still count: they may be cut off and go on. */
const gatesPeriodMilliseconds = 600_000;

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
	const budget = createRetryBudget(now());
	const reserved = new Set<string>();
	const recentGates = createRecentMaximum();
	return {
		reserve({id, isRetry}) {
			if (!isRetry) {
				return undefined;
			}

			const gates = recordMaximum(
				recentGates,
				options.countGates(),
				gatesPeriodMilliseconds,
				now(),
			);
			if (mayRetry(budget, retryPolicy, {gates, reserved: reserved.size}, now())) {
				reserved.add(formatAttemptId(id));
				return undefined;
			}

			const message = 'the retry budget is spent: try again later';
			return {
				refusal: createRefusal(refusalKinds.overloaded, message),
				details: {
					budget: 'repeats',
					gates,
					reserved: reserved.size,
					repeats: budget.retries.length,
					firsts: budget.firstAttempts.length,
				},
			};
		},
		recordDispatch({id, isRetry, call}) {
			reserved.delete(formatAttemptId(id));
			const recordAttempt = isRetry || call.repeated ? recordRetry : recordFirstAttempt;
			recordAttempt(budget, retryPolicy, now());
		},
		release({id}) {
			reserved.delete(formatAttemptId(id));
		},
	};
}
