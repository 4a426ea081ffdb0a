/** Public surface of routes: what goes where, and how a request's route is found. */
export {createRouteIndex, findRoute, type RouteIndex} from './match.js';
export type {CallerLimits, Route, RoutePart, RouteTable, ServiceFacts} from './route.js';
export {chooseService, createShareState, type ShareState} from './share.js';
