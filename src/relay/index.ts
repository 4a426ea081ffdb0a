/** Public surface of the relay: a node that serves routes on a platform. */
export type {Adapter, AnnouncementSink} from './adapter.js';
export type {CallerHead, Dialect, ServerAnswerFacts, ServerHead} from './dialect.js';
export {startRelay, type RelayStartError, type RunningRelay} from './relay.js';
export {
	routeSourceErrors,
	type RouteSource,
	type RouteSourceError,
	type RoutesReading,
} from './routes-follower.js';
export type {RoutesError} from './routes-in-force.js';
export {
	parseRelaySettings,
	splitAddress,
	type RelaySettings,
	type RelaySettingsError,
} from './settings.js';
