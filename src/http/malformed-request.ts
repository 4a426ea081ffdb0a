/**
 * The answer to a request that the HTTP parser gave up on. No response object exists then, so
 * the answer is written to the connection itself.
 */
import {Buffer} from 'node:buffer';
import type {Duplex} from 'node:stream';
import {headerNames, outcomes, refusalKinds, type Outcome} from '../call/index.js';
import {connectionStates, type ConnectionState} from './open-calls.js';

const statusOfCode: ReadonlyMap<string, string> = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/**
 * Answers a request that is not valid HTTP, and closes its connection.
 *
 * @param error the parser's error
 * @param socket the caller's connection
 * @param use what is open on the connection
 */
export function refuseMalformed(
	error: Error & {code?: string},
	socket: Duplex,
	use: ConnectionState,
): void {
	const isMute = !socket.writable || error.code === 'ECONNRESET';
	if (isMute || use === connectionStates.answering) {
		socket.destroy();
		return;
	}

	// Part of a body may have reached a server before the rest turned out malformed.
	const outcome = use === connectionStates.idle ? outcomes.notRun : outcomes.unknown;
	socket.end(formatRefusal(error, outcome));
}

function formatRefusal(error: Error & {code?: string}, outcome: Outcome): string {
	const status = statusOfCode.get(error.code ?? '') ?? '400 Bad Request';
	const body = JSON.stringify({
		kind: refusalKinds.malformed,
		message: 'the request is not valid HTTP/1.1: correct its head or framing',
		outcome,
	});
	const head = [
		`HTTP/1.1 ${status}`,
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(body)}`,
		'connection: close',
		`${headerNames.outcome}: ${outcome}`,
		`${headerNames.refusal}: ${refusalKinds.malformed}`,
	];
	return `${head.join('\r\n')}\r\n\r\n${body}`;
}
