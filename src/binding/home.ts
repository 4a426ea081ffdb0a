/**
 * The home of a key: one life of one node. The incarnation is drawn at random when the process
 * starts and never comes back, so that neither a clock nor an address decides who may run a key.
 * The address only says where to ask: any ingress reaches a home that membership does not tell
 * it of, and one that is suspected without cause.
 */

export type Home = {
	readonly nodeId: string;
	/** Random text of one process life. */
	readonly incarnation: string;
};

/** A home and where it takes calls of other nodes. */
export type AddressedHome = Home & {
	/** IP address. */
	readonly host: string;
	readonly port: number;
};

/**
 * Tells whether two homes are the same life of the same node.
 *
 * @param left one home
 * @param right the other
 * @returns true when they are the same
 */
export function isSameHome(left: Home, right: Home): boolean {
	return left.nodeId === right.nodeId && left.incarnation === right.incarnation;
}

const separator = '/';

/**
 * Writes a home as a header value.
 *
 * @param home the home
 * @returns its text
 */
export function formatHome(home: Home): string {
	return `${encodeURIComponent(home.nodeId)}${separator}${home.incarnation}`;
}

/**
 * Reads a home from a header value.
 *
 * @param text what `formatHome` wrote
 * @returns the home, or nothing when the text is none
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
	/** Whoever listens at the home's address decides by its incarnation. */
	remote: 'remote',
	/** The home has ended: its closing row tells what it ran. */
	gone: 'gone',
} as const;

export type KeyRoute = (typeof keyRoutes)[keyof typeof keyRoutes];

/**
 * Chooses where a key is decided. Another incarnation under this node's own name proves that
 * the old process has ended; it proves nothing of what that process ran.
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
