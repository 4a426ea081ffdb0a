/**
 * Responds to a request that the HTTP parser rejected. Node.js creates no response object in that
 * case, so the response is written directly to the socket.
 */
import {Buffer} from 'node:buffer';
import type {Duplex} from 'node:stream';
import {headerNames, outcomes, refusalKinds, type Outcome} from '../call/index.js';
import {connectionStates, type ConnectionState} from './open-calls.js';

const statusByErrorCode: ReadonlyMap<string, string> = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/**
 * Refuses a request that is not valid HTTP, and closes its connection.
 *
 * @param error the parser's error
 * @param socket the caller's connection
 * @param state state of the calls on the connection
 */
export function refuseMalformed(
	error: Error & {code?: string},
	socket: Duplex,
	state: ConnectionState,
): void {
	const isUnwritable = !socket.writable || error.code === 'ECONNRESET';
	if (isUnwritable || state === connectionStates.answering) {
		socket.destroy();
		return;
	}

	// Part of the body may have reached a server before the malformed part was received.
	const outcome = state === connectionStates.idle ? outcomes.notRun : outcomes.unknown;
	socket.end(formatRefusal(error, outcome));
}

function formatRefusal(error: Error & {code?: string}, outcome: Outcome): string {
	const status = statusByErrorCode.get(error.code ?? '') ?? '400 Bad Request';
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
