/** Public surface of routing: which server gets a call, and when a call is sent again. */
export {attemptEnds, type AttemptEnd, type AttemptResult} from './attempt.js';
export {chooseServer, type ChoiceRequest} from './choose.js';
export {
	createHedging,
	findHedgeDelay,
	recordLatency,
	tryHedge,
	type Hedging,
} from './hedge.js';
export {recordResult, recordSent, takeReport} from './learning.js';
export {
	decodeLoadReport,
	encodeLoadReport,
	loadHeaderName,
	longestLoadValueBytes,
	type LoadReport,
} from './load-report.js';
export {choices, type Choice, type RoutingPolicy} from './policy.js';
export {tryRetry, type RetryRequest} from './retry.js';
export {
	createShareBudget,
	earnFromFirstAttempt,
	trySpendExtra,
	type ShareBudget,
} from './share-budget.js';
export {
	arrangeService,
	createLoadView,
	distances,
	findServer,
	type Candidate,
	type LoadView,
	type Place,
	type ServerView,
	type ServiceView,
} from './view.js';
