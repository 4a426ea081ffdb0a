/** Starts the membership of a node from its settings, with seeds from the platform's table if it has one. */
import {performance} from 'node:perf_hooks';
import {Effect, type Scope} from 'effect';
import {
	createMembership,
	createSeedTable,
	type Membership,
	type MembershipError,
} from '../membership/index.js';
import {createTableClient, type TableClient} from '../table/index.js';
import type {Settings} from '../settings/index.js';

/**
 * Joins the mesh of nodes; closing the scope ends the membership.
 *
 * @param settings validated settings
 * @param incarnation identifies this process of the node: wall-clock milliseconds of its start
 * @param table client of the platform's table, if the settings name one
 * @returns the membership, once the incarnation of this node is final
 */
export function joinMembership(
	settings: Settings,
	incarnation: number,
	table: TableClient | undefined,
): Effect.Effect<Membership, MembershipError, Scope.Scope> {
	const {node, listeners, advertise, seeds, services} = settings;
	const seedFunctions = table === undefined ? {} : createSeedTable(table);
	return createMembership({
		self: {
			nodeId: node.id,
			incarnation,
			host: node.host,
			peerPort: advertise.peer ?? listeners.peer,
			controlPort: advertise.control ?? listeners.control,
			region: node.region,
			failureDomain: node.failureDomain,
			slots: 0,
		},
		listenPort: listeners.control,
		seeds,
		services: Object.keys(services),
		now: () => performance.now(),
		random: Math.random,
		...seedFunctions,
	});
}

/**
 * Opens a client of the platform's table; closing the scope closes it.
 *
 * @param settings validated settings
 * @returns the client, or `undefined` if the settings name no table
 */
export function openTableClient(
	settings: Settings,
): Effect.Effect<TableClient | undefined, never, Scope.Scope> {
	const {platform} = settings;
	if (platform === undefined) {
		return Effect.succeed(undefined);
	}

	const open = Effect.sync(() => createTableClient({address: platform.table}));
	return Effect.acquireRelease(open, table =>
		Effect.sync(() => {
			table.close();
		}),
	);
}
