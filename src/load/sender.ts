/** Sends one request of an experiment and tells what came of it. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type Agent, request, type ClientRequest, type IncomingMessage} from 'node:http';
import {outcomes, type Outcome} from '../call/index.js';
import {keyPolicies, type Stream} from './experiment.js';

const bodyChunkBytes = 65_536;
const graceMilliseconds = 2000;
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

/** What the answer to one request said. */
export type LoadRequestResult = {
	readonly outcome: Outcome;
	/** HTTP status; zero when no whole answer came. */
	readonly status: number;
	/** Kind of refusal; empty for none. */
	readonly refusal: string;
	readonly isWrong: boolean;
};

/**
 * Sends a request and waits for the whole answer.
 *
 * @param shot the request
 * @returns what came of it; a missing or broken answer reads as `unknown`
 */
export async function sendLoadRequest(shot: LoadRequest): Promise<LoadRequestResult> {
	return new Promise(resolve => {
		const outgoing = request({
			agent: shot.agent,
			host: shot.host,
			port: shot.port,
			method: shot.stream.method,
			path: shot.stream.path,
			headers: createHeaders(shot),
			timeout: shot.stream.deadlineMilliseconds + graceMilliseconds,
		});
		const fail = (refusal: string) => {
			resolve({outcome: outcomes.unknown, status: 0, refusal, isWrong: false});
		};

		outgoing.on('timeout', () => {
			outgoing.destroy(
				Object.assign(new Error('no answer in time'), {code: 'no-answer-in-time'}),
			);
		});
		outgoing.on('error', error => {
			fail('code' in error ? String(error.code) : 'connection-failed');
		});
		outgoing.on('response', response => {
			response.resume();
			response.on('close', () => {
				if (response.complete) {
					resolve(readResult(shot, response));
					return;
				}

				fail('answer-cut');
			});
		});
		writeBody(outgoing, shot);
	});
}

function createHeaders(shot: LoadRequest): Record<string, string | number> {
	const {stream, requestId, caller} = shot;
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

function writeBody(outgoing: ClientRequest, shot: LoadRequest): void {
	const {bodyBytes} = shot.stream;
	if (bodyBytes <= bodyChunkBytes) {
		outgoing.end(createBody(shot.requestId, bodyBytes));
		return;
	}

	const block = createBody(shot.requestId, bodyChunkBytes);
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

/** A body that only this request can have: its id, repeated. */
function createBody(requestId: string, bytes: number): Uint8Array {
	return Buffer.alloc(bytes, requestId);
}

function readResult(shot: LoadRequest, response: IncomingMessage): LoadRequestResult {
	const status = response.statusCode ?? 0;
	return {
		outcome: readOutcome(response, status),
		status,
		refusal: String(response.headers['foxtailtide-refusal'] ?? ''),
		isWrong: shot.stream.verify && isAnswerOfAnother(shot, response),
	};
}

/** A server without a node before it names no outcome: below 500 it ran the request. */
function readOutcome(response: IncomingMessage, status: number): Outcome {
	const named = String(response.headers['foxtailtide-outcome'] ?? '');
	if (isOutcome(named)) {
		return named;
	}

	return status < 500 ? outcomes.ran : outcomes.unknown;
}

function isOutcome(value: string): value is Outcome {
	return outcomeNames.has(value);
}

function isAnswerOfAnother(shot: LoadRequest, response: IncomingMessage): boolean {
	const told = response.headers['x-stand-in-digest'];
	if (told === undefined) {
		return false;
	}

	return told !== digestBody(shot.requestId, shot.stream.bodyBytes);
}

function digestBody(requestId: string, bytes: number): string {
	const hash = createHash('sha256');
	const block = createBody(requestId, Math.min(bytes, bodyChunkBytes));
	for (let remaining = bytes; remaining > 0; remaining -= block.length) {
		hash.update(block.subarray(0, Math.min(remaining, block.length)));
	}

	return hash.digest('hex');
}
