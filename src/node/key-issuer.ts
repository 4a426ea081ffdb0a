/**
 * Issues idempotency keys on the data listener: `POST /foxtailtide/keys` with the service in its
 * header, and `?block=1` for the prefix of a block.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {issueKey, type KeySecrets} from '../binding/index.js';
import {createRefusal, headerNames, outcomes, refusalKinds} from '../call/index.js';
import {writeRefusal} from '../http/index.js';
import type {KeyHome} from './key-home.js';

/** An issued key, as answered to callers. */
export type IssuedKeyDocument = {
	/** The key, or a prefix to which the caller appends a dot and a number of its choice. */
	readonly key: string;
	readonly block: boolean;
	/** ISO 8601, by the wall clock of the issuing node. */
	readonly expiresAt: string;
};

/** Issues a key, or returns `undefined` while the node stops. */
export type KeyIssuer = (
	service: string,
	block: boolean,
) => IssuedKeyDocument | undefined;

type KeyIssuerOptions = {
	readonly keyHome: KeyHome;
	readonly secrets: KeySecrets;
	/** Wall clock in milliseconds. */
	readonly wallClock: () => number;
	readonly keyLifetimeMilliseconds: number;
};

const keysPath = '/foxtailtide/keys';
const maximumServiceNameLength = 128;

/**
 * Creates the issuer of this node's keys.
 *
 * @param options the home encoded in the keys, the secrets and the lifetime
 * @returns the issuer
 */
export function createKeyIssuer(options: KeyIssuerOptions): KeyIssuer {
	const {keyHome, secrets} = options;
	return (service, block) => {
		if (!keyHome.isOpen()) {
			return undefined;
		}

		const expiresAt = options.wallClock() + options.keyLifetimeMilliseconds;
		const scope = {service, team: ''};
		const request = {home: keyHome.home, scope, expiresAt, block};
		const key = issueKey(request, secrets, randomBytes);
		return {key, block, expiresAt: new Date(expiresAt).toISOString()};
	};
}

/**
 * Creates the HTTP handler that issues keys.
 *
 * @param issue the issuer
 * @returns a handler that answers, or returns false if the path is another
 */
export function createKeyEndpoint(
	issue: KeyIssuer,
): (request: IncomingMessage, response: ServerResponse) => boolean {
	return (request, response) => {
		const [path, query] = request.url!.split('?', 2);
		if (path !== keysPath) {
			return false;
		}

		request.resume();
		answerKey(issue, request, response, new URLSearchParams(query).get('block') === '1');
		return true;
	};
}

function answerKey(
	issue: KeyIssuer,
	request: IncomingMessage,
	response: ServerResponse,
	block: boolean,
): void {
	const service = request.headers[headerNames.service];
	if (
		request.method !== 'POST' ||
		typeof service !== 'string' ||
		service.length > maximumServiceNameLength
	) {
		const message = `request keys by POST with one ${headerNames.service} header`;
		writeRefusal(
			response,
			createRefusal(refusalKinds.malformed, message),
			outcomes.notRun,
		);
		return;
	}

	const document = issue(service, block);
	if (!document) {
		const message = 'this node is stopping: request keys from another node';
		writeRefusal(response, createRefusal(refusalKinds.leaving, message), outcomes.notRun);
		return;
	}

	const body = Buffer.from(JSON.stringify(document));
	response.writeHead(201, {
		'content-type': 'application/json',
		'content-length': body.length,
	});
	response.end(body);
}
