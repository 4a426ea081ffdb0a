/** Sends one request of an experiment and returns its result. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type Agent, request, type ClientRequest, type IncomingMessage} from 'node:http';
import {outcomes, type Outcome} from '../call/index.js';
import {awaitSoundResponse} from '../http/index.js';
import {keyPolicies, type Stream} from './experiment.js';

const bodyBlockBytes = 65_536;
const timeoutSlackMilliseconds = 2000;
const outcomeNames: ReadonlySet<string> = new Set(Object.values(outcomes));

/** One request to send. */
export type LoadRequest = {
	readonly stream: Stream;
	/** Unique in the run. */
	readonly requestId: string;
	readonly caller: string;
	readonly host: string;
	readonly port: number;
	readonly agent: Agent;
};

/** The result of one request. */
export type LoadRequestResult = {
	readonly outcome: Outcome;
	/** HTTP status; 0 without a complete response. */
	readonly status: number;
	/** Kind of refusal, or code of the connection error; empty for none. */
	readonly refusal: string;
	readonly isWrong: boolean;
};

/**
 * Sends a request and waits for the complete response.
 *
 * @param loadRequest the request
 * @returns its result; the outcome is `unknown` without a complete response
 */
export async function sendLoadRequest(
	loadRequest: LoadRequest,
): Promise<LoadRequestResult> {
	return new Promise(resolve => {
		const outgoing = request({
			agent: loadRequest.agent,
			host: loadRequest.host,
			port: loadRequest.port,
			method: loadRequest.stream.method,
			path: loadRequest.stream.path,
			headers: createHeaders(loadRequest),
			timeout: loadRequest.stream.deadlineMilliseconds + timeoutSlackMilliseconds,
		});
		const fail = (refusal: string) => {
			resolve({outcome: outcomes.unknown, status: 0, refusal, isWrong: false});
		};

		outgoing.on('timeout', () => {
			outgoing.destroy(
				Object.assign(new Error('no response in time'), {code: 'no-answer-in-time'}),
			);
		});
		outgoing.on('error', error => {
			fail('code' in error ? String(error.code) : 'connection-failed');
		});
		outgoing.on('response', response => {
			const verdict = awaitSoundResponse(outgoing, response);
			response.resume();
			response.on('close', () => {
				void verdict.then(fault => {
					if (response.complete && fault === undefined) {
						resolve(readResult(loadRequest, response));
					} else {
						fail('answer-cut');
					}
				});
			});
		});
		writeBody(outgoing, loadRequest);
	});
}

function createHeaders(loadRequest: LoadRequest): Record<string, string | number> {
	const {stream, requestId, caller} = loadRequest;
	const headers: Record<string, string | number> = {
		'foxtailtide-service': stream.service,
		'foxtailtide-caller': caller,
		'foxtailtide-deadline-ms': stream.deadlineMilliseconds,
		'x-request-id': requestId,
		...stream.headers,
	};
	if (stream.rank !== undefined) {
		headers['foxtailtide-rank'] = stream.rank;
	}

	if (stream.keys === keyPolicies.own) {
		headers['idempotency-key'] = requestId;
	}

	if (stream.bodyBytes > 0) {
		headers['content-length'] = stream.bodyBytes;
	}

	return headers;
}

function writeBody(outgoing: ClientRequest, loadRequest: LoadRequest): void {
	const {bodyBytes} = loadRequest.stream;
	if (bodyBytes <= bodyBlockBytes) {
		outgoing.end(createBody(loadRequest.requestId, bodyBytes));
		return;
	}

	const block = createBody(loadRequest.requestId, bodyBlockBytes);
	let remaining = bodyBytes;
	const writeMore = () => {
		while (remaining > 0) {
			const part = block.subarray(0, Math.min(remaining, block.length));
			remaining -= part.length;
			if (!outgoing.write(part)) {
				outgoing.once('drain', writeMore);
				return;
			}
		}

		outgoing.end();
	};

	writeMore();
}

/** Creates a body that is unique to the request: its id, repeated. */
function createBody(requestId: string, bytes: number): Uint8Array {
	return Buffer.alloc(bytes, requestId);
}

function readResult(
	loadRequest: LoadRequest,
	response: IncomingMessage,
): LoadRequestResult {
	const status = response.statusCode ?? 0;
	return {
		outcome: readOutcome(response, status),
		status,
		refusal: String(response.headers['foxtailtide-refusal'] ?? ''),
		isWrong:
			loadRequest.stream.verify && isResponseToAnotherRequest(loadRequest, response),
	};
}

/** A server without a node in front of it sends no outcome: below 500 the request ran. */
function readOutcome(response: IncomingMessage, status: number): Outcome {
	const value = String(response.headers['foxtailtide-outcome'] ?? '');
	if (isOutcome(value)) {
		return value;
	}

	return status < 500 ? outcomes.ran : outcomes.unknown;
}

function isOutcome(value: string): value is Outcome {
	return outcomeNames.has(value);
}

function isResponseToAnotherRequest(
	loadRequest: LoadRequest,
	response: IncomingMessage,
): boolean {
	const digest = response.headers['x-stand-in-digest'];
	if (digest === undefined) {
		return false;
	}

	return digest !== digestBody(loadRequest.requestId, loadRequest.stream.bodyBytes);
}

function digestBody(requestId: string, bytes: number): string {
	const hash = createHash('sha256');
	const block = createBody(requestId, Math.min(bytes, bodyBlockBytes));
	for (let remaining = bytes; remaining > 0; remaining -= block.length) {
		hash.update(block.subarray(0, Math.min(remaining, block.length)));
	}

	return hash.digest('hex');
}
