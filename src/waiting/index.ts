/** Public API of the gate's queue: which request starts, waits or is refused. */
export {
	createInboundLink,
	estimateTransferTime,
	hasRoomFor,
	trackBody,
	type InboundLink,
} from './inbound-link.js';
export {
	assumeBaselineSpeed,
	currentSlowdown,
	recordSlowdown,
	type ServerSpeed,
} from './server-speed.js';
export {
	assignSlots,
	changeSlots,
	estimateServiceTime,
	estimateWait,
	finishRequest,
	needsSpeedForEstimate,
	offerOutcomes,
	offerRequest,
	withdrawRequest,
	type OfferOutcome,
	type OfferResult,
	type RequestEnd,
	type SlotAssignment,
} from './queue.js';
export {createQueue, type QueueState} from './queue-state.js';
export {
	findHopeless,
	recordCold,
	type ColdStatement,
	type HopelessRequest,
} from './cold-server.js';
export {changeColdLimit, changeStartRate, type StartRate} from './start-rate.js';
export {chooseRetryAfter} from './retry-after.js';
export {compareRequests, type GateRequest} from './gate-request.js';
