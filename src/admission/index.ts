/** Public API of admission: the slots and the queue of a gate. */
export {
	cancel,
	expire,
	offer,
	release,
	type AdmissionRequest,
	type RequestEnd,
} from './admission.js';
export {changePolicy, changeSlots} from './reconfigure.js';
export {
	offerKinds,
	refusalReasons,
	type OfferResult,
	type RefusalReason,
	type RefusedRequest,
	type SlotAssignment,
} from './decision.js';
export {
	findRankIndex,
	type AdmissionPolicy,
	type GatePolicy,
	type RankPolicy,
} from './policy.js';
export {
	countUsableSlots,
	createAdmission,
	queueCapacity,
	type AdmissionState,
} from './state.js';
