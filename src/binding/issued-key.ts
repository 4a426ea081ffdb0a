/**
 * Issued keys: idempotency keys that name their home, so that any ingress finds it without the
 * table. An HMAC protects the key against forgery; all nodes share the same secrets. A block is
 * a key prefix that the caller completes with its own numbers.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {IssuedKeyBody} from '../generated/binding.js';
import type {AddressedHome} from './home.js';

const keyPrefix = 'ftk1';
const separator = '.';
const digestBytes = 16;
const serialBytes = 12;
const maximumKeyCharacters = 1024;

export const keyErrorKinds = {
	/** The text is not an issued key, or part of it is missing. */
	incomplete: 'cut',
	/** The HMAC matches no secret of this mesh. */
	forged: 'forged',
	/** The key has expired by the home's clock. */
	expired: 'expired',
	/** The key was issued for another service or team. */
	wrongScope: 'wrong-scope',
} as const;

export type KeyErrorKind = (typeof keyErrorKinds)[keyof typeof keyErrorKinds];

export type KeyError = {readonly kind: KeyErrorKind; readonly message: string};

/** What a key may be used for; an empty service or team allows any. */
export type KeyScope = {readonly service: string; readonly team: string};

export type IssuedKey = {
	/** Name of the key in the ledger: `issued`, the body and, for a block, the number. */
	readonly id: string;
	readonly home: AddressedHome;
	readonly scope: KeyScope;
	/** By the home's wall clock, in milliseconds. */
	readonly expiresAt: number;
};

/** Secrets of the mesh, newest first: the first signs, all verify. */
export type KeySecrets = readonly [string, ...string[]];

export type IssueRequest = {
	readonly home: AddressedHome;
	readonly scope: KeyScope;
	/** By the home's wall clock, in milliseconds. */
	readonly expiresAt: number;
	/** Whether to issue the prefix of a block. */
	readonly block: boolean;
};

/**
 * Issues a key or the prefix of a block.
 *
 * @param request the contents of the key
 * @param secrets secrets of the mesh
 * @param randomBytes source of random bytes, such as that of node:crypto
 * @returns the key's text; for a block the prefix, see `appendKeyNumber`
 */
export function issueKey(
	request: IssueRequest,
	secrets: KeySecrets,
	randomBytes: (count: number) => Uint8Array,
): string {
	const body = IssuedKeyBody.encode({
		homeNodeId: request.home.nodeId,
		homeIncarnation: request.home.incarnation,
		service: request.scope.service,
		team: request.scope.team,
		expiresAt: request.expiresAt,
		serial: Buffer.from(randomBytes(serialBytes)),
		block: request.block,
		homeHost: request.home.host,
		homePort: request.home.port,
	}).finish();
	const text = Buffer.from(body).toString('base64url');
	const digest = computeDigest(text, secrets[0]).toString('base64url');
	return [keyPrefix, text, digest].join(separator);
}

/**
 * Completes the prefix of a block with a number.
 *
 * @param prefix text of a block
 * @param number a non-negative integer
 * @returns the key's text
 */
export function appendKeyNumber(prefix: string, number: number): string {
	return `${prefix}${separator}${number}`;
}

/**
 * Tells an issued key from one chosen by the caller. Case is ignored, so that a damaged issued key
 * is not taken for a caller's.
 *
 * @param text the received key
 * @returns whether the text has the prefix of issued keys
 */
export function hasIssuedKeyPrefix(text: string): boolean {
	return text.toLowerCase().startsWith(keyPrefix);
}

/**
 * Verifies an issued key: its HMAC in constant time, then its parts.
 *
 * @param text the received key
 * @param secrets secrets of the mesh
 * @returns the key, or why it is refused
 */
export function verifyIssuedKey(
	text: string,
	secrets: KeySecrets,
): Result<IssuedKey, KeyError> {
	const parts = text.split(separator);
	const [prefix, body, digest, number] = parts;
	if (
		text.length > maximumKeyCharacters ||
		prefix !== keyPrefix ||
		!body ||
		!digest ||
		parts.length > 4
	) {
		return createIncompleteError();
	}

	if (!hasValidDigest(body, digest, secrets)) {
		return err({
			kind: keyErrorKinds.forged,
			message: 'the key was not issued by this mesh or was modified: request a new key',
		});
	}

	const decoded = IssuedKeyBody.decode(Buffer.from(body, 'base64url'));
	const isNumbered = number !== undefined && isWholeNumber(number);
	if (decoded.block ? !isNumbered : number !== undefined) {
		return createIncompleteError();
	}

	return ok({
		id: isNumbered
			? `issued${separator}${body}${separator}${number}`
			: `issued${separator}${body}`,
		home: {
			nodeId: decoded.homeNodeId,
			incarnation: decoded.homeIncarnation,
			host: decoded.homeHost,
			port: decoded.homePort,
		},
		scope: {service: decoded.service, team: decoded.team},
		expiresAt: decoded.expiresAt,
	});
}

/**
 * Checks that a key may be used for a call.
 *
 * @param key the key
 * @param call service and team of the call
 * @returns the key, or why it is refused
 */
export function checkScope(key: IssuedKey, call: KeyScope): Result<IssuedKey, KeyError> {
	const {service, team} = key.scope;
	if (
		(service === '' || service === call.service) &&
		(team === '' || team === call.team)
	) {
		return ok(key);
	}

	return err({
		kind: keyErrorKinds.wrongScope,
		message: `the key was issued for ${service || team}: use a key for ${call.service}`,
	});
}

function createIncompleteError(): Result<IssuedKey, KeyError> {
	return err({
		kind: keyErrorKinds.incomplete,
		message:
			'the key is incomplete: send its whole text, for a block with a number after the last dot',
	});
}

/** Accepts only the canonical form of a number, so that each key has exactly one id. */
function isWholeNumber(text: string): boolean {
	const number = Number(text);
	return Number.isSafeInteger(number) && number >= 0 && String(number) === text;
}

function hasValidDigest(body: string, digest: string, secrets: KeySecrets): boolean {
	const given = Buffer.from(digest, 'base64url');
	if (given.length !== digestBytes || given.toString('base64url') !== digest) {
		return false;
	}

	return secrets.some(secret => timingSafeEqual(given, computeDigest(body, secret)));
}

function computeDigest(body: string, secret: string) {
	return createHmac('sha256', secret)
		.update(`${keyPrefix}${separator}${body}`)
		.digest()
		.subarray(0, digestBytes);
}
