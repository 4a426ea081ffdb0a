/** Public API of the retry budget. */
export {
	createRecentMaximum,
	recordMaximum,
	type RecentMaximum,
} from './recent-maximum.js';
export {
	createRetryBudget,
	mayRetry,
	recordFirstAttempt,
	recordRetry,
	type RetryBudget,
	type RetryPolicy,
	type RetryShare,
} from './retry-budget.js';
