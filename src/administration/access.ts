/**
 * Who may do what: every token belongs to a team and has a role. The settings hold digests of
 * tokens only; a token is compared in constant time with all of them and never logged.
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
	/** Sees configuration, members, state and metrics. */
	read: 'read',
	/** Changes the configuration, drains nodes and issues keys besides. */
	operate: 'operate',
} as const;

export type Role = (typeof roles)[keyof typeof roles];

/** A token as the settings know it. */
export type AccessToken = {
	/** Team whose configuration the token reaches; `*` reaches every team's. */
	readonly team: string;
	readonly role: Role;
	/** SHA-256 of the token, 64 hexadecimal digits. */
	readonly sha256: string;
};

/** Who asks. */
export type Identity = {readonly team: string; readonly role: Role};

export const allTeams = '*';

/**
 * Finds who asks by the `authorization` header.
 *
 * @param tokens the tokens of the settings
 * @param authorization the header, `Bearer TOKEN`
 * @returns the identity, or why there is none
 */
export function authenticate(
	tokens: readonly AccessToken[],
	authorization: string | undefined,
): Result<Identity, AdministrationError> {
	const prefix = 'Bearer ';
	const token = authorization?.startsWith(prefix)
		? authorization.slice(prefix.length)
		: '';
	const given = createHash('sha256').update(token).digest();
	let identity: Identity | undefined;
	for (const known of tokens) {
		// Every token is compared, so that the time tells nothing of which one matched.
		if (timingSafeEqual(given, Buffer.from(known.sha256, 'hex'))) {
			identity = {team: known.team, role: known.role};
		}
	}

	if (token === '' || identity === undefined) {
		const message =
			'the token is missing or unknown; send the header authorization: Bearer TOKEN with a token of the settings';
		return err(createError(administrationErrorKinds.unauthorized, message));
	}

	return ok(identity);
}

/**
 * Checks that a role suffices.
 *
 * @param identity who asks
 * @param needed the role that the request needs
 */
export function authorize(
	identity: Identity,
	needed: Role,
): Result<Identity, AdministrationError> {
	if (needed === roles.read || identity.role === roles.operate) {
		return ok(identity);
	}

	const message = 'the token may only read; use a token with the role operate';
	return err(createError(administrationErrorKinds.forbidden, message));
}

/**
 * Finds the team that a request is about.
 *
 * @param identity who asks
 * @param asked the team that the request names, if it names one
 */
export function resolveTeam(
	identity: Identity,
	asked: string | undefined,
): Result<string, AdministrationError> {
	if (identity.team === allTeams) {
		return asked === undefined
			? err(
					createError(
						administrationErrorKinds.malformed,
						'the token reaches every team; name one with ?team=NAME',
					),
				)
			: ok(asked);
	}

	if (asked === undefined || asked === identity.team) {
		return ok(identity.team);
	}

	const message = `the token is of team ${identity.team}; use a token of team ${asked}`;
	return err(createError(administrationErrorKinds.forbidden, message));
}
