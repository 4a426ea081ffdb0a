/** Public API of the measuring budget: what a node may spend on measuring the load of servers. */
export {
	changeMeasuringPolicy,
	createMeasuringBudget,
	measuringUses,
	recordReceived,
	trySpend,
	type MeasuringBudget,
	type MeasuringCost,
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
