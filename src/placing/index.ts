/** Public surface of placing: which gate a request is sent to. */
export {
	createFailureRate,
	currentFailureShare,
	recordAttemptResult,
	type FailureRate,
} from './failure-rate.js';
export {
	distances,
	shouldQueryRemoteGates,
	isGoodEnough,
	isWorthSending,
	scoreGates,
	type ByteCosts,
	type Candidate,
	type Distance,
	type GateReport,
	type PlacementRequest,
	type ScoredCandidate,
} from './scoring.js';
export {orderForQueries, type Located} from './query-order.js';
