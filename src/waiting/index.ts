/** Public surface of waiting: which request starts, waits, yields or is refused at a gate. */
export {
	createInboundLink,
	estimateTransferTime,
	trackBody,
	hasRoomFor,
	type InboundLink,
} from './inbound-link.js';
export {
	assumeBaselineSpeed,
	currentSlowdown,
	isSpeedStale,
	recordSlowdown,
	type ServerSpeed,
} from './server-speed.js';
export {
	changeSlots,
	createQueue,
	finishRequest,
	estimateWait,
	estimateServiceTime,
	offerOutcomes,
	offerRequest,
	assignSlots,
	withdrawRequest,
	type OfferResult,
	type OfferOutcome,
	type QueueState,
	type SlotAssignment,
	type RequestEnd,
} from './queue.js';
export {chooseRetryAfter} from './retry-after.js';
export {compareRequests, type GateRequest} from './gate-request.js';
