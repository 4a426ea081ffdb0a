/**
 * The home of a key: one life of one node. The incarnation is drawn at random when the process
 * starts and never comes back, so that neither a clock nor an address decides who may run a key.
 */

export type Home = {
	readonly nodeId: string;
	/** Random text of one process life. */
	readonly incarnation: string;
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

export const routes = {
	/** This node is the home. */
	local: 'local',
	/** Another node may be the home: it decides by its incarnation. */
	remote: 'remote',
	/** The home has ended: its closing row tells what it ran. */
	gone: 'gone',
	/** Nobody knows where the home stands. */
	unreachable: 'unreachable',
} as const;

export type Route = (typeof routes)[keyof typeof routes];

/** What membership says of a node id. */
export type HomePresence = 'present' | 'dead' | 'absent';

/**
 * Chooses where a key is decided. Another incarnation under this node's own name proves that
 * the old process has ended; it proves nothing of what that process ran.
 *
 * @param home the home of the key
 * @param self this node
 * @param presence what membership says of the home's node
 * @returns the route
 */
export function routeKey(home: Home, self: Home, presence: HomePresence): Route {
	if (home.nodeId === self.nodeId) {
		return home.incarnation === self.incarnation ? routes.local : routes.gone;
	}

	if (presence === 'present') {
		return routes.remote;
	}

	return presence === 'dead' ? routes.gone : routes.unreachable;
}
