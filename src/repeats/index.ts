/** Public surface of the repeat budget. */
export {
	recordFirstAttempt,
	createRetryBudget,
	trySpendRetry,
	type RetryBudget,
	type RetryPolicy,
} from './retry-budget.js';
