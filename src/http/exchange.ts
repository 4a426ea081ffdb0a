/**
 * One HTTP exchange as a client: sends a request over a keep-alive connection and returns a
 * buffered response, a streamed large one, or the kind of failure. The kind of a failure matters
 * more than its cause: only `unsent` proves that the peer received nothing.
 */
import {
	request as sendRequest,
	type Agent,
	type ClientRequest,
	type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import {pipeline, Transform, type Readable} from 'node:stream';
import {findHeader, isBuffered, type Body, type HeaderList} from '../call/index.js';
import {awaitWholeBody, endsWithConnection, hasBody} from './body-end.js';
import {bufferOrStream} from './buffer-body.js';
import {joinPieces} from './joined-pieces.js';
import {findHeadError} from './sound-response.js';

/** Bodies up to this size are buffered in memory, so that they can be sent again. */
export const bufferedBodyLimitBytes = 65_536;

const defaultConnectTimeoutMilliseconds = 1000;
const processingStatus = 102;
/** Informational responses to one request; a faulty peer may send them without end. */
const maximumInformationResponses = 16;

export const exchangeKinds = {
	answered: 'answered',
	/** The connection was not established, so the peer received nothing. */
	unsent: 'unsent',
	/** The request may have been received, completely or in part. */
	lost: 'lost',
} as const;

export type ExchangeAnswered = {
	readonly kind: typeof exchangeKinds.answered;
	readonly status: number;
	readonly rawHeaders: HeaderList;
	readonly body: Body;
	/** Whether the connection had carried other requests before. */
	readonly isReused: boolean;
};

export type ExchangeFailed = {
	readonly kind: typeof exchangeKinds.unsent | typeof exchangeKinds.lost;
	readonly message: string;
	/** Whether nothing was sent because a reused connection held unexpected bytes. */
	readonly isStale: boolean;
};

export type ExchangeResult = ExchangeAnswered | ExchangeFailed;

/** A request and the address to send it to. */
export type ExchangeRequest = {
	readonly agent: Agent;
	readonly host: string;
	readonly port: number;
	readonly method: string;
	readonly path: string;
	/** Complete header list, except for the headers that frame the body. */
	readonly headers: HeaderList;
	readonly body: Body;
	/** Whether a streamed body is sent only after `100 Continue`. */
	readonly awaitContinue: boolean;
	/** Time limit for establishing a new connection; 1 s by default. */
	readonly connectTimeoutMilliseconds?: number;
	/** Buffers responses of known or unknown length up to this many bytes, and streams the others. */
	readonly bufferLimitBytes?: number;
	/** Called when the peer reports with `102 Processing` that it is handling the request. */
	readonly onProcessing?: () => void;
};

/** An exchange in progress. */
export type RunningExchange = {
	/** Never rejects. */
	readonly result: Promise<ExchangeResult>;
	readonly cancel: () => void;
};

type ConnectionProgress = {
	connected: boolean;
	/** Whether the connection was closed before sending because of bytes that no request asked for. */
	isStale: boolean;
};

/**
 * Starts an exchange.
 *
 * @param options the request and its address
 * @returns the exchange in progress
 */
export function startExchange(options: ExchangeRequest): RunningExchange {
	const progress: ConnectionProgress = {connected: false, isStale: false};
	const request = sendRequest({
		agent: options.agent,
		host: options.host,
		port: options.port,
		method: options.method,
		path: options.path,
		headers: addFramingHeaders(options),
	});
	request.on('socket', socket => {
		trackConnection(request, socket, progress, options.connectTimeoutMilliseconds);
	});
	let informationCount = 0;
	request.on('information', ({statusCode}) => {
		informationCount += 1;
		if (informationCount > maximumInformationResponses) {
			request.destroy(new Error('too many informational responses'));
			return;
		}

		if (statusCode === processingStatus) {
			options.onProcessing?.();
		}
	});
	const received: {response?: IncomingMessage} = {};
	const result = new Promise<ExchangeResult>(resolve => {
		request.on('response', response => {
			received.response = response;
			receiveResponse(
				{request, response, progress, bufferLimitBytes: options.bufferLimitBytes},
				resolve,
			);
		});
		request.on('error', error => {
			resolve(createFailure(error, progress));
		});
		// After a switch of protocols the request closes without a response or an error.
		request.on('close', () => {
			if (received.response === undefined) {
				resolve(createFailure(new Error('closed without a response'), progress));
			}
		});
	});
	sendBody(request, options);
	return {
		result,
		cancel() {
			const error = new Error('cancelled');
			// The close of the connection alone would complete a close-delimited body.
			received.response?.destroy(error);
			request.destroy(error);
		},
	};
}

function addFramingHeaders(options: ExchangeRequest): string[] {
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

function trackConnection(
	request: ClientRequest,
	socket: Socket,
	progress: ConnectionProgress,
	connectTimeoutMilliseconds = defaultConnectTimeoutMilliseconds,
): void {
	if (!socket.connecting) {
		// Unread bytes on an idle connection would be taken as the response to this request.
		if (socket.readableLength > 0) {
			progress.isStale = true;
			request.destroy(new Error('unexpected data on a reused connection'));
			return;
		}

		progress.connected = true;
		return;
	}

	const timer = setTimeout(() => {
		request.destroy(
			new Error(`connection not established within ${connectTimeoutMilliseconds} ms`),
		);
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
		pipeBody(body, request);
		return;
	}

	request.flushHeaders();
	request.once('continue', () => {
		pipeBody(body, request);
	});
}

function pipeBody(body: Readable, request: ClientRequest): void {
	pipeline(body, request, error => {
		if (error) {
			request.destroy(error);
		}
	});
}

type ResponseContext = {
	readonly request: ClientRequest;
	readonly response: IncomingMessage;
	readonly progress: ConnectionProgress;
	readonly bufferLimitBytes: number | undefined;
};

function receiveResponse(
	context: ResponseContext,
	resolve: (result: ExchangeResult) => void,
): void {
	const {request, response, progress} = context;
	const error = findHeadError(response);
	if (error !== undefined) {
		request.destroy(error);
		resolve(createFailure(error, progress));
		return;
	}

	closeAfterEarlyResponse(request, response);
	const isCloseDelimited = endsWithConnection(request, response);
	const ending = awaitWholeBody(request, response);
	const resolveWith = (body: Body): void => {
		resolve({
			kind: exchangeKinds.answered,
			status: response.statusCode!,
			rawHeaders: response.rawHeaders,
			body: isBuffered(body) || !isCloseDelimited ? body : endIfOrderly(body, ending),
			isReused: request.reusedSocket,
		});
	};

	if (!shouldBuffer(context)) {
		resolveWith(joinPieces(response));
		return;
	}

	const limit = Math.max(bufferedBodyLimitBytes, context.bufferLimitBytes ?? 0);
	bufferOrStream(response, limit, (body, error) => {
		if (body === undefined) {
			resolve(createFailure(error, progress));
			return;
		}

		if (!isBuffered(body)) {
			resolveWith(body);
			return;
		}

		void ending.then(fault => {
			if (fault) {
				resolve(createFailure(fault, progress));
			} else {
				resolveWith(body);
			}
		});
	});
}

/** Ends a streamed body with an error unless its connection ended in order. */
function endIfOrderly(body: Readable, ending: Promise<Error | undefined>): Readable {
	const checked = new Transform({
		transform(chunk, _encoding, done) {
			done(undefined, chunk);
		},
		flush(done) {
			void ending.then(fault => {
				done(fault);
			});
		},
	});
	pipeline(body, checked, () => undefined);
	return checked;
}

/** Closes the connection, as the peer would read a later request as the rest of this body. */
function closeAfterEarlyResponse(
	request: ClientRequest,
	response: IncomingMessage,
): void {
	if (request.writableFinished) {
		return;
	}

	response.once('end', () => {
		if (!request.writableFinished) {
			request.destroy();
		}
	});
}

function shouldBuffer({request, response, bufferLimitBytes}: ResponseContext): boolean {
	if (!hasBody(request, response)) {
		return true;
	}

	const length = response.headers['content-length'];
	return length === undefined
		? bufferLimitBytes !== undefined
		: Number(length) <= Math.max(bufferedBodyLimitBytes, bufferLimitBytes ?? 0);
}

function createFailure(
	error: Error | undefined,
	progress: ConnectionProgress,
): ExchangeFailed {
	return {
		kind: progress.connected ? exchangeKinds.lost : exchangeKinds.unsent,
		message: error?.message ?? 'the response body was truncated',
		isStale: progress.isStale,
	};
}

function formatHost(host: string, port: number): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
