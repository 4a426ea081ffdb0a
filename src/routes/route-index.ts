/** Finds the route of a request: of its host's routes, the one with the longest matching prefix. */
import type {Route, RouteTable} from './route.js';

/** The routes of each host, longest prefix first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/**
 * Indexes the routes of a table by host.
 *
 * @param table the route table
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
	const queryStart = path.indexOf('?');
	const pathname = queryStart === -1 ? path : path.slice(0, queryStart);
	return index.get(normalizeHost(host))?.find(route => pathname.startsWith(route.prefix));
}

/** Removes the port and converts to lower case. */
function normalizeHost(host: string): string {
	const portSeparator = host.lastIndexOf(':');
	const isPort = portSeparator !== -1 && /^\d+$/v.test(host.slice(portSeparator + 1));
	return (isPort ? host.slice(0, portSeparator) : host).toLowerCase();
}
