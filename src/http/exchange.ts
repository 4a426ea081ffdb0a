/**
 * One HTTP exchange as a client: sends a request over a kept connection and gives back either a
 * whole answer, a stream of a large one, or what is known of the failure. The kinds of failure
 * matter more than their causes: only `unsent` proves that the other side received nothing.
 */
import {Buffer} from 'node:buffer';
import {
	request as sendRequest,
	type Agent,
	type ClientRequest,
	type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import {pipeline, type Readable} from 'node:stream';
import {findHeader, isBuffered, type Body, type HeaderList} from '../call/index.js';

/** Bodies up to this size are held in memory, so that they can be sent again. */
export const bufferedBodyLimitBytes = 65_536;

const defaultConnectTimeoutMilliseconds = 1000;
const processingStatus = 102;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

export const exchangeKinds = {
	answered: 'answered',
	/** The connection was never made: nothing was received. */
	unsent: 'unsent',
	/** The request may have been received, in whole or part. */
	lost: 'lost',
} as const;

export type ExchangeAnswered = {
	readonly kind: typeof exchangeKinds.answered;
	readonly status: number;
	readonly rawHeaders: HeaderList;
	readonly body: Body;
	/** Whether only the end of the connection told the end of the body. */
	readonly isCloseDelimited: boolean;
};

export type ExchangeFailed = {
	readonly kind: typeof exchangeKinds.unsent | typeof exchangeKinds.lost;
	readonly message: string;
};

export type ExchangeResult = ExchangeAnswered | ExchangeFailed;

/** What to send, and where. */
export type ExchangeRequest = {
	readonly agent: Agent;
	readonly host: string;
	readonly port: number;
	readonly method: string;
	readonly path: string;
	/** Complete header list, but for the framing of the body. */
	readonly headers: HeaderList;
	readonly body: Body;
	/** Whether a streamed body waits until the other side asks for it. */
	readonly awaitContinue: boolean;
	/** Time for a new connection to be made; a second when absent. */
	readonly connectTimeoutMilliseconds?: number;
	/** Holds answers of unstated length as well, up to this many bytes; larger ones stream. */
	readonly bufferLimitBytes?: number;
	/** Is called when the other side says that it works on the request. */
	readonly onProcessing?: () => void;
};

/** An exchange under way. */
export type RunningExchange = {
	/** Never rejects. */
	readonly result: Promise<ExchangeResult>;
	readonly cancel: () => void;
};

type Progress = {
	connected: boolean;
};

/**
 * Starts an exchange.
 *
 * @param options what to send, and where
 * @returns the exchange under way
 */
export function startExchange(options: ExchangeRequest): RunningExchange {
	const progress: Progress = {connected: false};
	const request = sendRequest({
		agent: options.agent,
		host: options.host,
		port: options.port,
		method: options.method,
		path: options.path,
		headers: frameHeaders(options),
	});
	request.on('socket', socket => {
		watchConnection(request, socket, progress, options.connectTimeoutMilliseconds);
	});
	request.on('information', ({statusCode}) => {
		if (statusCode === processingStatus) {
			options.onProcessing?.();
		}
	});
	const result = new Promise<ExchangeResult>(resolve => {
		request.on('response', response => {
			receiveAnswer(
				{request, response, progress, bufferLimitBytes: options.bufferLimitBytes},
				resolve,
			);
		});
		request.on('error', error => {
			resolve(describeFailure(error, progress));
		});
	});
	sendBody(request, options);
	return {
		result,
		cancel() {
			request.destroy(new Error('cancelled'));
		},
	};
}

function frameHeaders(options: ExchangeRequest): string[] {
	const headers = [...options.headers];
	if (findHeader(headers, 'host') === undefined) {
		headers.push('host', formatHost(options.host, options.port));
	}

	const hasLength = findHeader(headers, 'content-length') !== undefined;
	if (isBuffered(options.body)) {
		if (options.body.length > 0 && !hasLength) {
			headers.push('content-length', String(options.body.length));
		}

		return headers;
	}

	if (!hasLength) {
		headers.push('transfer-encoding', 'chunked');
	}

	if (options.awaitContinue) {
		headers.push('expect', '100-continue');
	}

	return headers;
}

function watchConnection(
	request: ClientRequest,
	socket: Socket,
	progress: Progress,
	connectTimeoutMilliseconds = defaultConnectTimeoutMilliseconds,
): void {
	if (!socket.connecting) {
		// Bytes that wait on an idle connection belong to no request; nothing is sent after them.
		if (socket.readableLength > 0) {
			request.destroy(new Error('the kept connection holds bytes of no request'));
			return;
		}

		progress.connected = true;
		return;
	}

	const timer = setTimeout(() => {
		request.destroy(new Error(`no connection within ${connectTimeoutMilliseconds} ms`));
	}, connectTimeoutMilliseconds);
	socket.once('connect', () => {
		progress.connected = true;
		clearTimeout(timer);
	});
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

function sendBody(request: ClientRequest, options: ExchangeRequest): void {
	const {body} = options;
	if (isBuffered(body)) {
		request.end(body.length > 0 ? body : undefined);
		return;
	}

	if (!options.awaitContinue) {
		passStream(body, request);
		return;
	}

	request.flushHeaders();
	request.once('continue', () => {
		passStream(body, request);
	});
}

function passStream(body: Readable, request: ClientRequest): void {
	pipeline(body, request, error => {
		if (error) {
			request.destroy(error);
		}
	});
}

type Receiving = {
	readonly request: ClientRequest;
	readonly response: IncomingMessage;
	readonly progress: Progress;
	readonly bufferLimitBytes: number | undefined;
};

function receiveAnswer(
	receiving: Receiving,
	resolve: (result: ExchangeResult) => void,
): void {
	const {request, response, progress} = receiving;
	closeAfterEarlyAnswer(request, response);
	const answer = (body: Body): void => {
		resolve({
			kind: exchangeKinds.answered,
			status: response.statusCode!,
			rawHeaders: response.rawHeaders,
			body,
			isCloseDelimited: hasBody(request, response) && isUnframed(response),
		});
	};

	if (!isHeld(receiving)) {
		answer(response);
		return;
	}

	collectBody(response, (whole, error) => {
		if (whole) {
			answer(whole);
			return;
		}

		resolve(describeFailure(error, progress));
	});
}

/** The rest of a body that the other side may still read must never be another request. */
function closeAfterEarlyAnswer(request: ClientRequest, response: IncomingMessage): void {
	if (request.writableFinished) {
		return;
	}

	response.once('end', () => {
		if (!request.writableFinished) {
			request.destroy();
		}
	});
}

function hasBody(request: ClientRequest, response: IncomingMessage): boolean {
	return request.method !== 'HEAD' && !bodilessStatuses.has(response.statusCode!);
}

function isUnframed({headers}: IncomingMessage): boolean {
	return (
		headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
	);
}

function isHeld({request, response, bufferLimitBytes: holdBytes}: Receiving): boolean {
	if (!hasBody(request, response)) {
		return true;
	}

	const length = response.headers['content-length'];
	return length === undefined
		? holdBytes !== undefined
		: Number(length) <= Math.max(bufferedBodyLimitBytes, holdBytes ?? 0);
}

/**
 * Reads a message's body into memory.
 *
 * @param message the message, whose length is known to be small
 * @param done is called once, with the whole body or with the error that cut it short
 */
export function collectBody(
	message: IncomingMessage,
	done: (whole: Uint8Array | undefined, error: Error | undefined) => void,
): void {
	const chunks: Uint8Array[] = [];
	message.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	message.once('end', () => {
		done(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks), undefined);
	});
	message.once('error', (error: Error) => {
		done(undefined, error);
	});
}

function describeFailure(error: Error | undefined, progress: Progress): ExchangeFailed {
	return {
		kind: progress.connected ? exchangeKinds.lost : exchangeKinds.unsent,
		message: error?.message ?? 'the body was cut short',
	};
}

function formatHost(host: string, port: number): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
