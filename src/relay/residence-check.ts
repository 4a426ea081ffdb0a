/**
 * The gate's own check of homes, so that neither an outdated ingress nor one of an older release makes
 * a server run a request that may not run in its region.
 */
import {findHeader, type HeaderList} from '../call/index.js';
import {mayRunIn, type KnownOrigin} from '../residence/index.js';
import {findRoute, type RouteTable} from '../routes/index.js';
import type {ActiveRoutes} from './active-routes.js';
import type {RelayCall} from './call.js';

export type ResidenceCheckOptions = {
	/** Region of this node. */
	readonly region: string;
	readonly routes: () => ActiveRoutes | undefined;
	/** Reads the key of the caller's team from headers that still hold it. */
	readonly readTeamKey: (headers: HeaderList) => string | undefined;
};

/**
 * @param options the region and the active routes
 * @returns a function that tells whether a request may run here
 */
export function createResidenceCheck(
	options: ResidenceCheckOptions,
): (call: RelayCall) => boolean {
	let checkedTable: RouteTable | undefined;
	let namesHomes = false;

	/** Requests are looked up only if some may be bound to homes. */
	function isLookupNeeded(table: RouteTable): boolean {
		if (table !== checkedTable) {
			checkedTable = table;
			namesHomes = [...table.routes, ...table.teams].some(({homes}) => homes.length > 0);
		}

		return namesHomes;
	}

	function findKnown(call: RelayCall): KnownOrigin {
		const active = options.routes();
		if (active === undefined || !isLookupNeeded(active.table)) {
			return {route: undefined, team: undefined};
		}

		const host = findHeader(call.headers, 'host') ?? '';
		const key = options.readTeamKey(call.headers);
		return {
			route: findRoute(active.index, host, call.path),
			team:
				active.table.teams.find(({name}) => name === call.team) ??
				(key === undefined ? undefined : active.teams.byKey.get(key)),
		};
	}

	return call =>
		mayRunIn(options.region, {homes: call.homes, findKnown: () => findKnown(call)});
}
