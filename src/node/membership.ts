/** Joins the mesh: membership as the settings describe it, with seeds from the table if there is one. */
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
 * Joins the mesh for as long as the scope lives.
 *
 * @param settings checked settings
 * @param incarnation number of this life of the node: wall-clock milliseconds of its start
 * @param table the platform's table, if the settings name one
 * @returns the members of the mesh, once the incarnation of this node is settled
 */
export function joinMembership(
	settings: Settings,
	incarnation: number,
	table: TableClient | undefined,
): Effect.Effect<Membership, MembershipError, Scope.Scope> {
	const {node, listeners, advertise, seeds, services} = settings;
	const seedTable = table === undefined ? {} : createSeedTable(table);
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
		...seedTable,
	});
}

/**
 * Opens the platform's table for as long as the scope lives.
 *
 * @param settings checked settings
 * @returns the client, or undefined when the settings name no table
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
