/**
 * One HTTP exchange with the platform, with limits on its duration and on the response size. Its
 * errors distinguish a request that cannot have arrived from one that may have.
 */
import {Buffer} from 'node:buffer';
import {
	request as requestPlain,
	type Agent,
	type ClientRequest,
	type IncomingHttpHeaders,
	type IncomingMessage,
	type OutgoingHttpHeaders,
} from 'node:http';
import {request as requestSecure} from 'node:https';
import {err, ok, type Result} from 'neverthrow';
import {awaitSoundResponse, createByteCollector} from '../http/index.js';
import {createTimedOut, createUnavailable, type TableError} from './table-error.js';

const maximumResponseBytes = 16_777_216;

export type ExchangeRequest = {
	readonly url: URL;
	readonly method: string;
	readonly headers?: OutgoingHttpHeaders;
	readonly body?: string;
	readonly agent: Agent;
	/** Time limit for the whole exchange, including the response body. */
	readonly timeoutMilliseconds: number;
};

export type ExchangeResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
};

/**
 * Sends a request and reads the whole response.
 *
 * @param exchange the request and its time limit
 * @returns the response, or `unavailable` if no connection was made, or `timed-out` if the request
 * may have arrived
 */
export async function sendExchange(
	exchange: ExchangeRequest,
): Promise<Result<ExchangeResponse, TableError>> {
	const signal = AbortSignal.timeout(exchange.timeoutMilliseconds);
	const request = createRequest(exchange, signal);
	const isConnected = trackConnection(request);
	try {
		const response = await sendRequest(request, exchange.body);
		const verdict = awaitSoundResponse(request, response);
		const body = await readResponse(response);
		const fault = await verdict;
		if (fault !== undefined) {
			throw fault;
		}

		return ok({status: response.statusCode ?? 0, headers: response.headers, body});
	} catch (error) {
		const timeout = `no response within ${exchange.timeoutMilliseconds} ms`;
		const reason = signal.aborted ? timeout : errorMessage(error);
		return err(isConnected() ? createTimedOut(reason) : createUnavailable(reason));
	}
}

function createRequest(exchange: ExchangeRequest, signal: AbortSignal): ClientRequest {
	const request = exchange.url.protocol === 'https:' ? requestSecure : requestPlain;
	const {method, headers, agent} = exchange;
	return request(exchange.url, {method, headers, agent, signal});
}

/** Tracks whether the request may have been sent: only once its connection is established. */
function trackConnection(request: ClientRequest): () => boolean {
	let connected = false;
	request.once('socket', socket => {
		if (!socket.connecting) {
			connected = true;
			return;
		}

		socket.once('connect', () => {
			connected = true;
		});
	});
	return () => connected;
}

async function sendRequest(
	request: ClientRequest,
	body: string | undefined,
): Promise<IncomingMessage> {
	return new Promise((resolve, reject) => {
		request.once('response', resolve);
		request.on('error', reject);
		request.end(body);
	});
}

async function readResponse(response: IncomingMessage): Promise<string> {
	const collector = createByteCollector();
	for await (const chunk of response as AsyncIterable<Uint8Array>) {
		collector.add(chunk);
		if (collector.byteLength() > maximumResponseBytes) {
			throw new Error(`the response is larger than ${maximumResponseBytes} bytes`);
		}
	}

	return Buffer.from(collector.take()).toString('utf8');
}

function errorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
