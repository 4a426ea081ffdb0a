/**
 * Writes a server's response or a refusal to a caller or to another node. A length or a last chunk marks the end of
 * each body, also of one that the server ended with its connection: the close of this node's connection may as well
 * mean that the node has ended, and a reset may reach a peer that still writes as an orderly end. When the body is
 * truncated, the connection is destroyed before that mark is sent.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {pipeline, type Readable} from 'node:stream';
import {
	attemptResultKinds,
	createRefusal,
	findHeader,
	headerNames,
	isBuffered,
	outcomes,
	refusalKinds,
	type AttemptAnswered,
	type AttemptResult,
	type HeaderList,
	type Outcome,
	type Refusal,
} from '../call/index.js';

/** Alternating header names and values to add to a response. */
export type ExtraHeaders = readonly string[];

/**
 * Writes a server's response.
 *
 * @param response response to write to
 * @param serverResponse the server's response
 * @param extra headers to add
 */
export function writeResponse(
	response: ServerResponse,
	serverResponse: AttemptAnswered,
	extra: ExtraHeaders = [],
): void {
	const headers = [
		...serverResponse.headers,
		headerNames.outcome,
		outcomes.ran,
		...extra,
	];
	if (needsContentLength(response, serverResponse)) {
		headers.push('content-length', String(serverResponse.body.length));
	}

	response.writeHead(serverResponse.status, headers);
	if (isBuffered(serverResponse.body)) {
		response.end(serverResponse.body);
		return;
	}

	if (!marksEnd(response, headers)) {
		resetOnFailure(serverResponse.body, response);
	}

	pipeline(serverResponse.body, response, error => {
		if (error) {
			response.destroy();
		}
	});
}

/**
 * Resets the connection when the body fails. Without a length, an orderly close would mark the truncated body as
 * complete. To be called before the body is piped, since the pipeline closes the connection in order.
 */
function resetOnFailure(body: Readable, response: ServerResponse): void {
	const reset = (): void => {
		if (!body.readableEnded) {
			response.socket?.resetAndDestroy();
		}
	};

	body.once('error', reset);
	body.once('close', reset);
}

/** A body that was received without a length is now buffered, so its length is known. */
function needsContentLength(
	response: ServerResponse,
	serverResponse: AttemptAnswered,
): serverResponse is AttemptAnswered & {readonly body: Uint8Array} {
	return (
		isBuffered(serverResponse.body) &&
		serverResponse.body.length > 0 &&
		response.req.method !== 'HEAD' &&
		findHeader(serverResponse.headers, 'content-length') === undefined
	);
}

/** Tells whether a length or a last chunk marks the end of a streamed body; only HTTP/1.1 has chunks. */
function marksEnd({req}: ServerResponse, headers: HeaderList): boolean {
	return findHeader(headers, 'content-length') !== undefined || req.httpVersion === '1.1';
}

/**
 * Writes a refusal as JSON.
 *
 * @param response response to write to
 * @param refusal reason of the refusal, and the remedy
 * @param outcome execution outcome reported to the caller
 * @param extra headers to add
 */
export function writeRefusal(
	response: ServerResponse,
	refusal: Refusal,
	outcome: Outcome,
	extra: ExtraHeaders = [],
): void {
	if (response.destroyed) {
		return;
	}

	const body = Buffer.from(JSON.stringify({...refusal, outcome}));
	const headers = [
		'content-type',
		'application/json',
		'content-length',
		String(body.length),
		headerNames.outcome,
		outcome,
		headerNames.refusal,
		refusal.kind,
		...extra,
	];
	if (refusal.retryAfterMilliseconds !== undefined) {
		headers.push('retry-after', String(Math.ceil(refusal.retryAfterMilliseconds / 1000)));
	}

	// To keep the connection, Node.js would have to read the rest of the request body.
	if (!response.req.complete) {
		headers.push('connection', 'close');
	}

	response.writeHead(refusal.status, headers);
	response.end(body);
}

/**
 * Writes the result of an attempt for another node.
 *
 * @param response response to write to
 * @param result result of the attempt
 * @param extra headers to add to a server's response or a refusal
 */
export function writeAttemptResult(
	response: ServerResponse,
	result: AttemptResult,
	extra: ExtraHeaders = [],
): void {
	if (result.kind === attemptResultKinds.answered) {
		writeResponse(response, result, extra);
		return;
	}

	if (result.kind === attemptResultKinds.refused) {
		writeRefusal(response, result.refusal, result.outcome, extra);
		return;
	}

	const refusal = createRefusal(
		refusalKinds.serverFailed,
		`contact with the server was lost (${result.message}): send idempotent requests again`,
	);
	writeRefusal(response, refusal, outcomes.unknown);
}

/**
 * Refuses a request whose head must not be passed on.
 *
 * @param response response to write to
 * @param fault why, as found by `findRequestHeadFault`
 */
export function refuseMalformedHead(response: ServerResponse, fault: string): void {
	writeRefusal(response, createMalformedHeadRefusal(fault), outcomes.notRun);
}

/**
 * Creates the refusal of a request whose head must not be passed on.
 *
 * @param fault why, as found by `findRequestHeadFault`
 * @returns the refusal
 */
export function createMalformedHeadRefusal(fault: string): Refusal {
	return createRefusal(
		refusalKinds.malformed,
		`the request is not valid HTTP/1.1: ${fault}; correct its head`,
	);
}

/**
 * Refuses a request that was not sent by a node.
 *
 * @param response response to write to
 */
export function refuseNonPeer(response: ServerResponse): void {
	const refusal = createRefusal(
		refusalKinds.malformed,
		'this listener serves other nodes only: send calls to the data listener',
	);
	writeRefusal(response, refusal, outcomes.notRun);
}
