/**
 * The home of a key: the one incarnation of a node that may run the key, that is, the request with
 * it. The incarnation is random per process start and never reused, so neither a clock nor an
 * address decides which process may run a key. The address is only for routing: with it any ingress
 * reaches a home that is missing in its membership or wrongly suspected.
 */

export type Home = {
	readonly nodeId: string;
	/** Random text, new at each process start. */
	readonly incarnation: string;
};

/** A home with the address of its listener for other nodes. */
export type AddressedHome = Home & {
	/** IP address. */
	readonly host: string;
	readonly port: number;
};

/**
 * Compares two homes by node and incarnation.
 *
 * @param left one home
 * @param right the other
 * @returns whether they are the same
 */
export function isSameHome(left: Home, right: Home): boolean {
	return left.nodeId === right.nodeId && left.incarnation === right.incarnation;
}

const separator = '/';

/**
 * Formats a home as a header value.
 *
 * @param home the home
 * @returns the node id, URI-encoded, and the incarnation, separated by a slash
 */
export function formatHome(home: Home): string {
	return `${encodeURIComponent(home.nodeId)}${separator}${home.incarnation}`;
}

/**
 * Parses a home from a header value.
 *
 * @param text the value, as written by `formatHome`
 * @returns the home, or `undefined` if the value is malformed
 */
export function parseHome(text: string): Home | undefined {
	const [nodeId, incarnation, ...rest] = text.split(separator);
	if (!nodeId || !incarnation || rest.length > 0) {
		return undefined;
	}

	try {
		return {nodeId: decodeURIComponent(nodeId), incarnation};
	} catch {
		return undefined;
	}
}

export const keyRoutes = {
	/** This node is the home. */
	local: 'local',
	/** Send to the home's address; the node there compares the incarnation. */
	remote: 'remote',
	/** The home has terminated: its closing summary tells what it ran. */
	gone: 'gone',
} as const;

export type KeyRoute = (typeof keyRoutes)[keyof typeof keyRoutes];

/**
 * Chooses where to route a key. A home with this node's id but another incarnation is known to
 * have terminated, but not what it ran.
 *
 * @param home the home of the key
 * @param self this node
 * @returns the route
 */
export function routeKey(home: Home, self: Home): KeyRoute {
	if (home.nodeId !== self.nodeId) {
		return keyRoutes.remote;
	}

	return home.incarnation === self.incarnation ? keyRoutes.local : keyRoutes.gone;
}
