/** Public surface of admission: the gate's slots and queue. */
export {
	cancel,
	expire,
	offer,
	release,
	type AdmissionRequest,
	type RequestEnd,
} from './admission.js';
export {announceSlots, changePolicy} from './changes.js';
export {
	offerKinds,
	refusalReasons,
	type Offer,
	type RefusalReason,
	type RefusedRequest,
	type Turn,
} from './decision.js';
export {
	findRankIndex,
	type AdmissionPolicy,
	type GatePolicy,
	type RankPolicy,
} from './policy.js';
export {
	countQueuePlaces,
	countUsableSlots,
	createAdmission,
	type AdmissionState,
} from './state.js';
