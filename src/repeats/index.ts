/** Public API of the retry budget. */
export {
	createRetryBudget,
	mayRetry,
	recordFirstAttempt,
	recordRetry,
	type RetryBudget,
	type RetryPolicy,
	type RetryShare,
} from './retry-budget.js';
