/** Finds the route of a request: of its host's routes, the one with the longest prefix. */
import type {Route, RouteTable} from './route.js';

/** The routes of each host, longest prefix first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/**
 * Indexes a table by host.
 *
 * @param table one version of the routes
 * @returns the index
 */
export function createRouteIndex(table: RouteTable): RouteIndex {
	const index = new Map<string, Route[]>();
	for (const route of table.routes) {
		const host = normalizeHost(route.host);
		const routes = index.get(host) ?? [];
		routes.push(route);
		index.set(host, routes);
	}

	for (const routes of index.values()) {
		routes.sort((left, right) => right.prefix.length - left.prefix.length);
	}

	return index;
}

/**
 * Finds the route of a request.
 *
 * @param index the routes by host
 * @param host host as the request names it, with or without a port
 * @param path path with its query
 * @returns the route, or undefined when none matches
 */
export function findRoute(
	index: RouteIndex,
	host: string,
	path: string,
): Route | undefined {
	const query = path.indexOf('?');
	const bare = query === -1 ? path : path.slice(0, query);
	return index.get(normalizeHost(host))?.find(route => bare.startsWith(route.prefix));
}

/** Hosts compare without regard to case, and a port does not count. */
function normalizeHost(host: string): string {
	const colon = host.lastIndexOf(':');
	const isPort = colon !== -1 && /^\d+$/v.test(host.slice(colon + 1));
	return (isPort ? host.slice(0, colon) : host).toLowerCase();
}
