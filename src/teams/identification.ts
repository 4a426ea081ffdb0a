/**
 * Recognizes callers by the keys of their teams. A table without teams asks for no keys. Requests
 * that a running request makes carry none, and belong to no team.
 */
import type {Route, RouteTable, Team} from '../routes/index.js';

/** What a request says of its caller. */
export type CallerClaim = {
	readonly route: Pick<Route, 'isPublic'>;
	/** Undefined if the request carries none. */
	readonly key: string | undefined;
	/** Whether a running request made it. */
	readonly nested: boolean;
};

export type TeamIndex = {
	/** Whether callers are recognized by keys at all. */
	readonly isRequired: boolean;
	readonly byKey: ReadonlyMap<string, Team>;
};

/** Whether a caller is known, and its team if it has one. */
export type Identification =
	{readonly isKnown: true; readonly team: Team | undefined} | {readonly isKnown: false};

/**
 * Indexes the teams of a table by their keys.
 *
 * @param table the table
 * @returns the index
 */
export function createTeamIndex({teams}: Pick<RouteTable, 'teams'>): TeamIndex {
	const byKey = new Map<string, Team>();
	for (const team of teams) {
		for (const key of team.keys) {
			byKey.set(key, team);
		}
	}

	return {isRequired: teams.length > 0, byKey};
}

/**
 * Identifies the caller of a request.
 *
 * @param index the teams
 * @param claim what the request says of its caller
 * @returns its team, or that it is unknown
 */
export function identifyCaller(index: TeamIndex, claim: CallerClaim): Identification {
	const team = claim.key === undefined ? undefined : index.byKey.get(claim.key);
	const needsTeam = index.isRequired && !claim.route.isPublic && !claim.nested;
	return team === undefined && needsTeam ? {isKnown: false} : {isKnown: true, team};
}
