/**
 * Takes keyed calls that other nodes bring to this node as the home of their key. A keyed call
 * goes on when its connection closes: its answer is kept for the next sending.
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
	/** Present time, milliseconds of the monotonic clock. */
	readonly now: () => number;
};

/**
 * Runs a keyed call and answers with what became of it.
 *
 * @param options the home, and the clock
 * @param request a request with a key's home in its headers
 * @param response where to answer
 */
export function handleKeyedCall(
	options: KeyedCallHandlerOptions,
	request: IncomingMessage,
	response: ServerResponse,
): void {
	readSmallBody(request, body => {
		const call = readKeyedCall(request, body, options.now());
		if (call === undefined) {
			refuseNonPeer(response);
			return;
		}

		void options.runKeyedCall(call).then(result => {
			writeAttemptResult(response, result);
		});
	});
}

function readKeyedCall(
	request: IncomingMessage,
	body: Uint8Array,
	now: number,
): KeyedCall | undefined {
	const home = parseHome(readText(request, headerNames.keyHome));
	const keyId = readText(request, headerNames.keyId);
	const expiresAt = Number(readText(request, headerNames.keyExpiry));
	if (home === undefined || keyId === '' || !Number.isSafeInteger(expiresAt)) {
		return undefined;
	}

	const headers = copyEndToEndHeaders(request.rawHeaders);
	return {home, keyId, expiresAt, head: readHead(request, now), headers, body};
}

function readHead(request: IncomingMessage, now: number): CallHead {
	return {
		service: readText(request, headerNames.service),
		method: request.method!,
		path: request.url!,
		rank: readText(request, headerNames.rank),
		caller: readText(request, headerNames.caller),
		deadlineAt: now + Number(readText(request, headerNames.deadline)),
		idempotent: false,
		key: undefined,
		isFirstSending: false,
		retries: Number(readText(request, headerNames.retries)),
	};
}

function readText(request: IncomingMessage, name: string): string {
	const value = request.headers[name];
	return typeof value === 'string' ? value : '';
}
