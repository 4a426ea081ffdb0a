/** Public API of the choice of a gate: which gate a request is sent to. */
export {
	createFailureRate,
	currentFailureShare,
	recordAttemptResult,
	type FailureRate,
} from './failure-rate.js';
export {
	distances,
	isGoodEnough,
	isWorthSending,
	scoreGates,
	shouldQueryRemoteGates,
	type ByteCosts,
	type Candidate,
	type Distance,
	type GateReport,
	type PlacementRequest,
	type ScoredCandidate,
} from './scoring.js';
export {orderForQueries, type Located} from './query-order.js';
