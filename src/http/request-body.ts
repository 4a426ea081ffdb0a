/**
 * Reads the bodies of received requests: small ones whole, so that they can be sent again,
 * larger ones as the stream that they are.
 */
import type {IncomingMessage} from 'node:http';
import {collectBody, bufferedBodyLimitBytes} from './exchange.js';

const emptyBody = new Uint8Array(0);

/**
 * Tells whether a request's body is small by its framing.
 *
 * @param request the received request
 * @returns whether the body is absent or its stated length is small
 */
export function hasSmallBody(request: IncomingMessage): boolean {
	if (request.headers['transfer-encoding'] !== undefined) {
		return false;
	}

	const length = request.headers['content-length'];
	return length === undefined || Number(length) <= bufferedBodyLimitBytes;
}

/**
 * Reads a small body. A request that is cut short is dropped: its connection is gone.
 *
 * @param request the received request
 * @param done is called once, with the whole body
 */
export function readSmallBody(
	request: IncomingMessage,
	done: (body: Uint8Array) => void,
): void {
	const length = request.headers['content-length'];
	if (length === undefined || length === '0') {
		request.resume();
		done(emptyBody);
		return;
	}

	collectBody(request, whole => {
		if (whole) {
			done(whole);
		}
	});
}
