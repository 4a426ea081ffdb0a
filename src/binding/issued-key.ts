/**
 * Issued keys: idempotency keys that name their home, so that any ingress finds the node which
 * may run them without the table. The text carries a keyed digest against forgery; every node
 * holds the same secrets. A block is one prefix that a caller completes with its own numbers.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {IssuedKeyBody} from '../generated/binding.js';
import type {AddressedHome} from './home.js';

const textPrefix = 'ftk1';
const separator = '.';
const digestBytes = 16;
const serialBytes = 12;
const longestTextCharacters = 1024;

export const keyErrorKinds = {
	/** The text is no issued key, or part of it is missing. */
	incomplete: 'cut',
	/** The digest is not of this mesh. */
	forged: 'forged',
	/** The home's clock has passed the expiry. */
	expired: 'expired',
	/** The key is for another service or team. */
	wrongScope: 'wrong-scope',
} as const;

export type KeyErrorKind = (typeof keyErrorKinds)[keyof typeof keyErrorKinds];

export type KeyError = {readonly kind: KeyErrorKind; readonly message: string};

/** What a key may be used for; an empty team or service admits any. */
export type KeyScope = {readonly service: string; readonly team: string};

export type IssuedKey = {
	/** Name of the key in the ledger: the text without its digest. */
	readonly id: string;
	readonly home: AddressedHome;
	readonly scope: KeyScope;
	/** Milliseconds of the home's wall clock. */
	readonly expiresAt: number;
};

/** Secrets of the mesh, newest first: the first signs, each of them verifies. */
export type KeySecrets = readonly [string, ...string[]];

export type IssueRequest = {
	readonly home: AddressedHome;
	readonly scope: KeyScope;
	/** Milliseconds of the home's wall clock. */
	readonly expiresAt: number;
	/** True for a block. */
	readonly block: boolean;
};

/**
 * Issues a key or the prefix of a block.
 *
 * @param request what the key names
 * @param secrets of the mesh
 * @param randomBytes source of random bytes, such as that of node:crypto
 * @returns the key's text; a block's text lacks the caller's number, see `numberKey`
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
	const digest = digestOf(text, secrets[0]).toString('base64url');
	return [textPrefix, text, digest].join(separator);
}

/**
 * Completes the prefix of a block with a caller's own number.
 *
 * @param prefix text of a block
 * @param number whole, not negative
 * @returns the key's text
 */
export function appendKeyNumber(prefix: string, number: number): string {
	return `${prefix}${separator}${number}`;
}

/**
 * Tells an issued key from a caller's own, so that a damaged one is not taken for the other.
 *
 * @param text the key as it came
 * @returns true when it claims to be issued
 */
export function hasIssuedKeyPrefix(text: string): boolean {
	return text.toLowerCase().startsWith(textPrefix);
}

/**
 * Checks an issued key: its digest in constant time, then its parts.
 *
 * @param text the key as it came
 * @param secrets of the mesh
 * @returns the key, or why it is refused
 */
export function verifyIssuedKey(
	text: string,
	secrets: KeySecrets,
): Result<IssuedKey, KeyError> {
	const parts = text.split(separator);
	const [prefix, body, digest, number] = parts;
	if (
		text.length > longestTextCharacters ||
		prefix !== textPrefix ||
		!body ||
		!digest ||
		parts.length > 4
	) {
		return createIncompleteError();
	}

	if (!isSigned(body, digest, secrets)) {
		return err({
			kind: keyErrorKinds.forged,
			message: 'the key was not issued by this mesh or was changed: ask for a new key',
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
		message: `the key was issued for ${service || team}: use a key of ${call.service}`,
	});
}

function createIncompleteError(): Result<IssuedKey, KeyError> {
	return err({
		kind: keyErrorKinds.incomplete,
		message:
			'the key is incomplete: send its whole text, a block with a number after the last dot',
	});
}

/** Only one text stands for one number, so that a key has one name. */
function isWholeNumber(text: string): boolean {
	const number = Number(text);
	return Number.isSafeInteger(number) && number >= 0 && String(number) === text;
}

function isSigned(body: string, digest: string, secrets: KeySecrets): boolean {
	const given = Buffer.from(digest, 'base64url');
	if (given.length !== digestBytes || given.toString('base64url') !== digest) {
		return false;
	}

	return secrets.some(secret => timingSafeEqual(given, digestOf(body, secret)));
}

function digestOf(body: string, secret: string) {
	return createHmac('sha256', secret)
		.update(`${textPrefix}${separator}${body}`)
		.digest()
		.subarray(0, digestBytes);
}
