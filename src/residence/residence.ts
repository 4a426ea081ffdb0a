/**
 * Whether a request may run at the servers of a region. Its ingress states its homes. An ingress of an
 * older release or with older routes states none; then the homes of its route and team apply, as far
 * as this node knows them.
 */
import type {Route, Team} from '../routes/index.js';
import {combineHomes, isHome, type Homes} from '../teams/index.js';

/** What is known of where a request may run. */
export type ResidenceClaim = {
	/** Homes that its ingress stated; undefined if it stated none. */
	readonly homes: Homes;
	/** Looks up its route and team; called only if no homes were stated. */
	readonly findKnown: () => KnownOrigin;
};

/** Route and team of a request; undefined if they are not known. */
export type KnownOrigin = {
	readonly route: Pick<Route, 'homes'> | undefined;
	readonly team: Pick<Team, 'homes'> | undefined;
};

/**
 * Tells whether a request may run in a region.
 *
 * @param region the region of the server
 * @param claim what is known of the request
 * @returns whether the region is a home of it
 */
export function mayRunIn(region: string, claim: ResidenceClaim): boolean {
	if (claim.homes !== undefined) {
		return isHome(claim.homes, region);
	}

	const {route, team} = claim.findKnown();
	return isHome(combineHomes(route?.homes ?? [], team?.homes ?? []), region);
}
