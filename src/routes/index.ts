/** Public API of routes: the route table, route lookup and the choice of a service. */
export {createRouteIndex, findRoute, type RouteIndex} from './route-index.js';
export type {
	CallerLimits,
	Route,
	RouteTable,
	ServiceConfiguration,
	Team,
	WeightedService,
} from './route.js';
export {
	chooseService,
	createRoundRobinState,
	type RoundRobinState,
} from './weighted-round-robin.js';
