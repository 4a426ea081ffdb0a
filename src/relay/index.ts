/** Public API of the relay, a node that runs next to one server on a platform. */
export type {PlatformAdapter, AnnouncementHandler} from './adapter.js';
export type {
	CallerRequestMetadata,
	PlatformProtocol,
	ServerNotice,
	ServerResponseMetadata,
	ServerRequestMetadata,
} from './platform-protocol.js';
export {startRelay, type RelayStartError, type RunningRelay} from './relay.js';
export {
	routeSourceErrors,
	type RouteSource,
	type RouteSourceError,
	type RoutesReading,
	type TablePosition,
} from './routes-follower.js';
export type {ProofSource} from './proof-keeper.js';
export type {RoutesError} from './active-routes.js';
export {
	parseRelaySettings,
	splitAddress,
	type RelaySettings,
	type RelaySettingsError,
} from './settings.js';
