/** Public surface of admission: the gate's slots and queue. */
export {
	cancel,
	expire,
	offer,
	release,
	type AdmissionRequest,
	type RequestEnd,
} from './admission.js';
export {changeSlots, changePolicy} from './reconfigure.js';
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
	queueCapacity,
	countUsableSlots,
	createAdmission,
	type AdmissionState,
} from './state.js';
