/** Public API of evacuations: which failure domains get no new requests. */
export {
	decodeEvacuationOrder,
	encodeEvacuationOrder,
	type EvacuationOrder,
} from './evacuation-order.js';
export {
	applyGossip,
	applyReading,
	createEvacuationState,
	isDomainEvacuated,
	listEvacuatedDomains,
	type EvacuationChange,
	type EvacuationReading,
	type EvacuationRow,
	type EvacuationState,
} from './evacuations.js';
