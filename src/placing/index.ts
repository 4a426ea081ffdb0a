/** Public API of the choice of a gate: which gate a request is sent to. */
export {
	createFailureRate,
	currentFailureShare,
	recordAttemptResult,
	type FailureRate,
} from './failure-rate.js';
export {
	compareScored,
	costOfDistance,
	distances,
	isGoodEnough,
	isWorthSending,
	scoreGates,
	shouldQueryRemoteGates,
	valueOfResponse,
	type ByteCosts,
	type Candidate,
	type Distance,
	type GateReport,
	type PlacementRequest,
	type ScoredCandidate,
} from './scoring.js';
export {orderForQueries, type Located} from './query-order.js';
export {
	chargeForRoom,
	createLeavingShare,
	decideLeaving,
	doubtOfReport,
	leavingReasons,
	mergeReport,
	negligibleShare,
	recordOwnRoom,
	type Destination,
	type DomainView,
	type LeavingDecision,
	type LeavingQuestion,
	type LeavingReason,
	type LeavingShare,
} from './spill.js';
export {
	chooseAnswerTimeout,
	createRoundTripEstimate,
	recordRoundTrip,
	type RoundTripEstimate,
	type TimeoutBounds,
} from './round-trip.js';
export {
	createRegionLink,
	fitsRegionLink,
	recordCallBytes,
	type CallBytes,
	type RegionLink,
} from './region-link.js';
