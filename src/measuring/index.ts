/** Public surface of measuring: what a node may spend on knowing the load of servers. */
export {
	changeMeasuringPolicy,
	createMeasuringBudget,
	measuringUses,
	recordReceived,
	trySpend,
	type MeasuringCost,
	type MeasuringBudget,
	type MeasuringPolicy,
	type MeasuringUse,
} from './measuring-budget.js';
export {
	createRateLimiter,
	recordUsage,
	remainingAllowance,
	tryAcquire,
	type RateLimiter,
} from './rate-limiter.js';
