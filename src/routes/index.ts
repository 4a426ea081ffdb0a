/** Public surface of routes: what goes where, and how a request's route is found. */
export {createRouteIndex, findRoute, type RouteIndex} from './route-index.js';
export type {
	CallerLimits,
	Route,
	WeightedService,
	RouteTable,
	ServiceConfiguration,
} from './route.js';
export {
	chooseService,
	createRoundRobinState,
	type RoundRobinState,
} from './weighted-round-robin.js';
