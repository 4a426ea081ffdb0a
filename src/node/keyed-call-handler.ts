/**
 * Handles keyed calls that other nodes forward to this node as the home of their key. A keyed call
 * continues when its connection closes: its response is stored for the next request with the key.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {parseHome} from '../binding/index.js';
import {
	copyEndToEndHeaders,
	headerNames,
	type AttemptResult,
	type CallHead,
} from '../call/index.js';
import {readSmallBody, refuseNonPeer, writeAttemptResult} from '../http/index.js';
import type {KeyedCall} from './key-home.js';

type KeyedCallHandlerOptions = {
	readonly runKeyedCall: (call: KeyedCall) => Promise<AttemptResult>;
	/** Current time, milliseconds of the monotonic clock. */
	readonly now: () => number;
};

/**
 * Runs a keyed call and writes its result.
 *
 * @param options the home, and the clock
 * @param request a request that names a key's home in its headers
 * @param response the response to write
 */
export function handleKeyedCall(
	options: KeyedCallHandlerOptions,
	request: IncomingMessage,
	response: ServerResponse,
): void {
	readSmallBody(request, body => {
		const call = parseKeyedCall(request, body, options.now());
		if (call === undefined) {
			refuseNonPeer(response);
			return;
		}

		void options.runKeyedCall(call).then(result => {
			writeAttemptResult(response, result);
		});
	});
}

function parseKeyedCall(
	request: IncomingMessage,
	body: Uint8Array,
	now: number,
): KeyedCall | undefined {
	const home = parseHome(readHeader(request, headerNames.keyHome));
	const keyId = readHeader(request, headerNames.keyId);
	const expiresAt = Number(readHeader(request, headerNames.keyExpiry));
	if (home === undefined || keyId === '' || !Number.isSafeInteger(expiresAt)) {
		return undefined;
	}

	const headers = copyEndToEndHeaders(request.rawHeaders);
	return {home, keyId, expiresAt, head: parseCallHead(request, now), headers, body};
}

function parseCallHead(request: IncomingMessage, now: number): CallHead {
	return {
		service: readHeader(request, headerNames.service),
		method: request.method!,
		path: request.url!,
		rank: readHeader(request, headerNames.rank),
		caller: readHeader(request, headerNames.caller),
		deadlineAt: now + Number(readHeader(request, headerNames.deadline)),
		idempotent: false,
		key: undefined,
		isFirstSending: false,
		retries: Number(readHeader(request, headerNames.retries)),
	};
}

function readHeader(request: IncomingMessage, name: string): string {
	const value = request.headers[name];
	return typeof value === 'string' ? value : '';
}
