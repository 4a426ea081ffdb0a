/**
 * The answer to a request that the HTTP parser gave up on. No response object exists then, so
 * the answer is written to the connection itself.
 */
import {Buffer} from 'node:buffer';
import type {Duplex} from 'node:stream';
import {headerNames, outcomes, refusalKinds} from '../call/index.js';

const statusOfCode: ReadonlyMap<string, string> = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/**
 * Answers a request that is not valid HTTP, and closes its connection.
 *
 * @param error the parser's error
 * @param socket the caller's connection
 */
export function refuseMalformed(error: Error & {code?: string}, socket: Duplex): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const status = statusOfCode.get(error.code ?? '') ?? '400 Bad Request';
	const body = JSON.stringify({
		kind: refusalKinds.malformed,
		message: 'the request is not valid HTTP/1.1: correct its head or framing',
		outcome: outcomes.notRun,
	});
	const head = [
		`HTTP/1.1 ${status}`,
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(body)}`,
		'connection: close',
		`${headerNames.outcome}: ${outcomes.notRun}`,
		`${headerNames.refusal}: ${refusalKinds.malformed}`,
	];
	socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}
