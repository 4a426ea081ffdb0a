/** The listener for attempts and keyed calls that other nodes send to this node. */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {
	attemptResultKinds,
	copyEndToEndHeaders,
	headerNames,
	parseAttemptId,
	type AttemptRequest,
	type AttemptResult,
	type Body,
	type RunningAttempt,
} from '../call/index.js';
import {
	findRequestHeadFault,
	hasSmallBody,
	readSmallBody,
	refuseMalformedHead,
	refuseNonPeer,
	writeAttemptResult,
} from '../http/index.js';
import type {KeyedCall} from './key-home.js';
import {handleKeyedCall} from './keyed-call-handler.js';

type PeerListenerOptions = {
	readonly run: (request: AttemptRequest) => RunningAttempt;
	/** Charges a load header of this value to the measuring budget; false if it does not cover it. */
	readonly trySpendOnLoadHeader: (load: string) => boolean;
	/** Runs a keyed call that another node forwarded to this node as its home. */
	readonly runKeyedCall: (call: KeyedCall) => Promise<AttemptResult>;
	/** Current time, milliseconds of the monotonic clock. */
	readonly now: () => number;
};

const idleConnectionMilliseconds = 60_000;

/**
 * Creates the listener; the caller binds it.
 *
 * @param options handlers of attempts and keyed calls, measuring budget and clock
 * @returns the HTTP server
 */
export function createPeerListener(options: PeerListenerOptions): Server {
	const server = createServer({
		keepAliveTimeout: idleConnectionMilliseconds,
		noDelay: true,
	});
	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		receive(options, request, response, undefined);
	});
	server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
		receive(options, request, response, () => {
			response.writeContinue();
		});
	});
	return server;
}

function receive(
	options: PeerListenerOptions,
	request: IncomingMessage,
	response: ServerResponse,
	onDispatch: (() => void) | undefined,
): void {
	const fault = findRequestHeadFault(request);
	if (fault !== undefined) {
		refuseMalformedHead(response, fault);
		return;
	}

	if (request.headers[headerNames.keyHome] !== undefined) {
		handleKeyedCall(options, request, response);
		return;
	}

	const startWithBody = (body: Body): void => {
		runAttempt(options, parseAttempt(request, body, onDispatch, options.now()), response);
	};

	if (hasSmallBody(request)) {
		readSmallBody(request, startWithBody);
		return;
	}

	startWithBody(request);
}

function runAttempt(
	options: PeerListenerOptions,
	attempt: AttemptRequest | undefined,
	response: ServerResponse,
): void {
	if (attempt === undefined) {
		refuseNonPeer(response);
		return;
	}

	const running = options.run(attempt);
	response.once('close', running.cancel);
	void running.result.then(result => {
		response.removeListener('close', running.cancel);
		writeResultWithLoad(response, result, options.trySpendOnLoadHeader);
	});
}

function parseAttempt(
	request: IncomingMessage,
	body: Body,
	onDispatch: (() => void) | undefined,
	now: number,
): AttemptRequest | undefined {
	const {headers} = request;
	const id = parseAttemptId(readHeader(headers[headerNames.attempt]));
	if (id === undefined) {
		return undefined;
	}

	return {
		id,
		service: readHeader(headers[headerNames.service]),
		method: request.method!,
		path: request.url!,
		headers: copyEndToEndHeaders(request.rawHeaders),
		body,
		rank: readHeader(headers[headerNames.rank]),
		caller: readHeader(headers[headerNames.caller]),
		deadlineAt: now + Number(readHeader(headers[headerNames.deadline])),
		idempotent: headers[headerNames.idempotent] === '1',
		retries: Number(readHeader(headers[headerNames.retries])),
		suspect: headers[headerNames.suspect] === '1',
		onDispatch,
	};
}

function readHeader(value: string | string[] | undefined): string {
	return typeof value === 'string' ? value : '';
}

function writeResultWithLoad(
	response: ServerResponse,
	result: AttemptResult,
	trySpendOnLoadHeader: (load: string) => boolean,
): void {
	const load = result.kind === attemptResultKinds.lost ? undefined : result.load;
	writeAttemptResult(response, result, buildLoadHeader(load, trySpendOnLoadHeader));
}

function buildLoadHeader(
	load: string | undefined,
	trySpendOnLoadHeader: (load: string) => boolean,
): string[] {
	return load !== undefined && trySpendOnLoadHeader(load) ? [headerNames.load, load] : [];
}
