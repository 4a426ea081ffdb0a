/** Public interface of administration: the HTTP API for operators, and the metrics. */
export {roles, type AccessToken, type Role} from './access.js';
export {type AdministrationOptions} from './administration.js';
export {
	administrationErrorKinds,
	type AdministrationError,
	type AdministrationErrorKind,
} from './error.js';
export {changeIdHeader, expectedVersionHeader, operatorHeader} from './fields.js';
export {type FleetStatus} from './fleet-status.js';
export {createAdministrationServer} from './listener.js';
export {createMetrics, type Metrics, type ReadMetricValues} from './metrics.js';
