/**
 * Writes answers: a server's answer or a refusal, to a caller or to another node. An answer
 * whose body is cut short takes the connection down with it, so that it never passes as whole.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {pipeline} from 'node:stream';
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
	type Outcome,
	type Refusal,
} from '../call/index.js';

/** Header names and values in turn, to add to an answer. */
export type ExtraHeaders = readonly string[];

/**
 * Writes a server's answer.
 *
 * @param response where to write
 * @param answer the server's answer
 * @param extra headers to add
 */
export function writeResponse(
	response: ServerResponse,
	answer: AttemptAnswered,
	extra: ExtraHeaders = [],
): void {
	const headers = [...answer.headers, headerNames.outcome, outcomes.ran, ...extra];
	if (answer.isCloseDelimited) {
		leaveUnframed(response);
	} else if (needsLength(response, answer)) {
		headers.push('content-length', String(answer.body.length));
	}

	response.writeHead(answer.status, headers);
	if (isBuffered(answer.body)) {
		response.end(answer.body);
		return;
	}

	pipeline(answer.body, response, error => {
		if (error) {
			response.destroy();
		}
	});
}

/** A body that came in chunks is whole by now, and its length is known. */
function needsLength(
	response: ServerResponse,
	answer: AttemptAnswered,
): answer is AttemptAnswered & {readonly body: Uint8Array} {
	return (
		isBuffered(answer.body) &&
		answer.body.length > 0 &&
		response.req.method !== 'HEAD' &&
		findHeader(answer.headers, 'content-length') === undefined
	);
}

/** Gives the answer no length and no chunks; its connection closes after it. */
function leaveUnframed(response: ServerResponse): void {
	response.removeHeader('content-length');
	response.removeHeader('transfer-encoding');
	response.shouldKeepAlive = false;
}

/**
 * Writes a refusal as JSON.
 *
 * @param response where to write
 * @param refusal what is refused, and the remedy
 * @param outcome what the caller is told of its request
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

	// A request body that was not read would otherwise be read to its end to keep the connection.
	if (!response.req.complete) {
		headers.push('connection', 'close');
	}

	response.writeHead(refusal.status, headers);
	response.end(body);
}

/**
 * Writes what became of an attempt, for another node to read.
 *
 * @param response where to write
 * @param result what became of it
 * @param extra headers to add to a server's answer or a refusal
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
 * Refuses a request that no node sent.
 *
 * @param response where to write
 */
export function refuseNonPeer(response: ServerResponse): void {
	const refusal = createRefusal(
		refusalKinds.malformed,
		'this listener serves other nodes only: send calls to the data listener',
	);
	writeRefusal(response, refusal, outcomes.notRun);
}
