/**
 * Reads the bodies of received requests. Small bodies are buffered, so that they can be sent
 * again; larger ones remain streams.
 */
import type {IncomingMessage} from 'node:http';
import {collectBody} from './buffer-body.js';
import {bufferedBodyLimitBytes} from './exchange.js';

const emptyBody = new Uint8Array(0);

/**
 * Checks by its framing whether a request's body is small enough to be buffered.
 *
 * @param request the received request
 * @returns whether the body is absent or its content length is within the limit
 */
export function hasSmallBody(request: IncomingMessage): boolean {
	if (request.headers['transfer-encoding'] !== undefined) {
		return false;
	}

	const length = request.headers['content-length'];
	return length === undefined || Number(length) <= bufferedBodyLimitBytes;
}

/**
 * Reads a small body. A truncated request is dropped, as its connection is closed.
 *
 * @param request the received request
 * @param done called once with the complete body; never if the request is truncated
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

	collectBody(request, bufferedBodyLimitBytes, body => {
		if (body) {
			done(body);
		}
	});
}
