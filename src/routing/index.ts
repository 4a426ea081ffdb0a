/** Public API of routing: server selection, retries and hedging. */
export {attemptEnds, type AttemptEnd, type AttemptResult} from './attempt.js';
export {chooseServer, type ChoiceRequest} from './choose.js';
export {
	createHedging,
	findHedgeDelay,
	recordLatency,
	tryHedge,
	type HedgingState,
} from './hedge.js';
export {recordResult, recordSent, recordReport} from './recording.js';
export {
	decodeLoadReport,
	encodeLoadReport,
	loadHeaderName,
	maximumLoadValueBytes,
	type LoadReport,
} from './load-report.js';
export {
	balancingAlgorithms,
	type BalancingAlgorithm,
	type RoutingPolicy,
} from './policy.js';
export {tryRetry, type RetryRequest} from './retry.js';
export {
	createExtraAttemptBudget,
	creditFirstAttempt,
	trySpendExtraAttempt,
	type ExtraAttemptBudget,
} from './extra-attempt-budget.js';
export {
	updateServers,
	createLoadView,
	distances,
	findServer,
	type Candidate,
	type LoadView,
	type NodeLocation,
	type ServerView,
	type ServiceView,
} from './view.js';
