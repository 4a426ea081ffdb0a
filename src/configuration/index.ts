/** Public surface of configuration: documents, presets, and how they come to be in force. */
export {
	findService,
	parseConfiguration,
	replaceInForce,
	type DocumentFault,
	type FoundService,
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
