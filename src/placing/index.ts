/** Public surface of placing: which gate a request is sent to. */
export {createFailures, findFailureShare, learnEnd, type Failures} from './failures.js';
export {
	distances,
	isFartherWorthAsking,
	isGoodEnough,
	isWorthSending,
	rateGates,
	type ByteCosts,
	type Candidate,
	type Distance,
	type GateReport,
	type Placement,
	type RatedCandidate,
} from './place.js';
export {orderForQuestions, type Located} from './sample.js';
