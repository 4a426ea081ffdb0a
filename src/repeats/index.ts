/** Public API of the retry budget. */
export {
	createRetryBudget,
	recordFirstAttempt,
	recordRepeatedCall,
	trySpendRetry,
	type RetryBudget,
	type RetryPolicy,
} from './retry-budget.js';
