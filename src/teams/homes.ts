/**
 * Homes: the regions whose servers may run a request. The route and the team of a request may both
 * name some, and then both bind.
 */

/** Regions whose servers may run a request; undefined if any may, empty if none may. */
export type Homes = readonly string[] | undefined;

/**
 * Combines the homes of a route with those of a team.
 *
 * @param route regions that the route names; empty for any
 * @param team regions that the team names; empty for any
 * @returns the regions that both allow
 */
export function combineHomes(route: readonly string[], team: readonly string[]): Homes {
	if (route.length === 0) {
		return team.length === 0 ? undefined : team;
	}

	return team.length === 0 ? route : route.filter(region => team.includes(region));
}

/**
 * Tells whether servers of a region may run a request.
 *
 * @param homes the homes of the request
 * @param region the region
 * @returns whether the region is one of them
 */
export function isHome(homes: Homes, region: string): boolean {
	return homes === undefined || homes.includes(region);
}
