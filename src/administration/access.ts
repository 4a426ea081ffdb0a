/**
 * Access control of the administration API. Every token belongs to a team and has a role. The
 * settings contain only digests of tokens; a token is compared in constant time with all of them
 * and is never logged.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {
	administrationErrorKinds,
	createError,
	type AdministrationError,
} from './error.js';

export const roles = {
	/** May read configuration, members, state and metrics. */
	read: 'read',
	/** May also change the configuration, drain nodes and issue keys. */
	operate: 'operate',
} as const;

export type Role = (typeof roles)[keyof typeof roles];

/** A token as defined in the settings. */
export type AccessToken = {
	/** Team whose configuration the token may access; `*` for all teams. */
	readonly team: string;
	readonly role: Role;
	/** SHA-256 of the token, 64 hexadecimal digits. */
	readonly sha256: string;
};

/** Team and role of the sender of a request. */
export type Identity = {readonly team: string; readonly role: Role};

export const allTeams = '*';

/**
 * Authenticates the sender of a request by its `authorization` header.
 *
 * @param tokens the tokens defined in the settings
 * @param authorization the header, `Bearer TOKEN`
 * @returns the sender's identity, or an `unauthorized` error
 */
export function authenticate(
	tokens: readonly AccessToken[],
	authorization: string | undefined,
): Result<Identity, AdministrationError> {
	const prefix = 'Bearer ';
	const token = authorization?.startsWith(prefix)
		? authorization.slice(prefix.length)
		: '';
	const digest = createHash('sha256').update(token).digest();
	let identity: Identity | undefined;
	for (const candidate of tokens) {
		// All tokens are compared, so that the duration does not reveal which one matched.
		if (timingSafeEqual(digest, Buffer.from(candidate.sha256, 'hex'))) {
			identity = {team: candidate.team, role: candidate.role};
		}
	}

	if (token === '' || identity === undefined) {
		const message =
			'the token is missing or unknown; send the header authorization: Bearer TOKEN with a token from the settings';
		return err(createError(administrationErrorKinds.unauthorized, message));
	}

	return ok(identity);
}

/**
 * Checks that the sender has the required role.
 *
 * @param identity the sender
 * @param requiredRole role that the request requires
 */
export function authorize(
	identity: Identity,
	requiredRole: Role,
): Result<Identity, AdministrationError> {
	if (requiredRole === roles.read || identity.role === roles.operate) {
		return ok(identity);
	}

	const message = 'the token may only read; use a token with the role operate';
	return err(createError(administrationErrorKinds.forbidden, message));
}

/**
 * Determines the team that a request applies to.
 *
 * @param identity the sender
 * @param requestedTeam the team named in the request, if any
 */
export function resolveTeam(
	identity: Identity,
	requestedTeam: string | undefined,
): Result<string, AdministrationError> {
	if (identity.team === allTeams) {
		return requestedTeam === undefined
			? err(
					createError(
						administrationErrorKinds.malformed,
						'the token is valid for all teams; select one with ?team=NAME',
					),
				)
			: ok(requestedTeam);
	}

	if (requestedTeam === undefined || requestedTeam === identity.team) {
		return ok(identity.team);
	}

	const message = `the token belongs to team ${identity.team}; use a token of team ${requestedTeam}`;
	return err(createError(administrationErrorKinds.forbidden, message));
}
