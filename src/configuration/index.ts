/** Public API of the configuration: documents, presets, and how changes are applied. */
export {
	findServicePolicy,
	parseConfiguration,
	setPresetInForce,
	type ResolvedServicePolicy,
} from './document.js';
export {
	routingChoices,
	type AdmissionPolicy,
	type ConfigurationDocument,
	type MeasuringPolicy,
	type Preset,
	type RankPolicy,
	type RoutingChoice,
	type RoutingPolicy,
	type ServicePolicy,
} from './schema.js';
export {type AcceptedChange} from './acceptance.js';
export {
	changeErrorKinds,
	type Change,
	type ChangeError,
	type ChangeErrorKind,
} from './change.js';
export {type Configuration, type ConfigurationOptions} from './configuration.js';
export {type Head, type AppliedDocument} from './applied-documents.js';
export {type ConfigurationPeers, type PeerAddress} from './peers.js';
export {type PeerService} from './peer-service.js';
export {unreadinessReasons, type UnreadinessReason} from './readiness.js';
export {type ChangeRecord, type StoredConfiguration} from './stored.js';
export {createConfiguration} from './task.js';
