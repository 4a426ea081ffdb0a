/** Public surface of waiting: which request starts, waits, yields or is refused at a gate. */
export {
	createInboundLink,
	estimateTransfer,
	expectBody,
	hasRoomFor,
	type InboundLink,
} from './inbound-link.js';
export {
	assumeUsualSpeed,
	currentSlowdown,
	isSpeedStale,
	reportSlowdown,
	type Pace,
} from './pace.js';
export {
	changeSlots,
	createQueue,
	endWork,
	estimateWait,
	estimateWork,
	offerOutcomes,
	offerWork,
	takeTurns,
	withdrawWork,
	type Offer,
	type OfferOutcome,
	type QueueState,
	type Turn,
	type WorkEnd,
} from './queue.js';
export {chooseRetryAfter} from './retry-after.js';
export {compareWork, type Work} from './work.js';
