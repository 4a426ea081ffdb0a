/**
 * The listener for calls that other nodes bring to this node's gate.
 */
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
	hasSmallBody,
	readSmallBody,
	refuseNonPeer,
	writeAttemptResult,
} from '../http/index.js';
import type {KeyedCall} from './key-home.js';
import {handleKeyedCall} from './keyed-call-handler.js';

type PeerListenerOptions = {
	readonly run: (request: AttemptRequest) => RunningAttempt;
	/** Whether the measuring budget covers a load header of this value. */
	readonly trySpendOnLoadHeader: (load: string) => boolean;
	/** Runs a keyed call whose home this node is said to be. */
	readonly runKeyedCall: (call: KeyedCall) => Promise<AttemptResult>;
	/** Present time, milliseconds of the monotonic clock. */
	readonly now: () => number;
};

const idleConnectionMilliseconds = 60_000;

/**
 * Creates the listener; the caller binds it.
 *
 * @param options the gate's `run`, and the clock
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
	if (request.headers[headerNames.keyHome] !== undefined) {
		handleKeyedCall(options, request, response);
		return;
	}

	const startWith = (body: Body): void => {
		start(options, readAttempt(request, body, onDispatch, options.now()), response);
	};

	if (hasSmallBody(request)) {
		readSmallBody(request, startWith);
		return;
	}

	startWith(request);
}

function start(
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

function readAttempt(
	request: IncomingMessage,
	body: Body,
	onDispatch: (() => void) | undefined,
	now: number,
): AttemptRequest | undefined {
	const {headers} = request;
	const id = parseAttemptId(readText(headers[headerNames.attempt]));
	if (id === undefined) {
		return undefined;
	}

	return {
		id,
		service: readText(headers[headerNames.service]),
		method: request.method!,
		path: request.url!,
		headers: copyEndToEndHeaders(request.rawHeaders),
		body,
		rank: readText(headers[headerNames.rank]),
		caller: readText(headers[headerNames.caller]),
		deadlineAt: now + Number(readText(headers[headerNames.deadline])),
		idempotent: headers[headerNames.idempotent] === '1',
		retries: Number(readText(headers[headerNames.retries])),
		suspect: headers[headerNames.suspect] === '1',
		onDispatch,
	};
}

function readText(value: string | string[] | undefined): string {
	return typeof value === 'string' ? value : '';
}

function writeResultWithLoad(
	response: ServerResponse,
	result: AttemptResult,
	grantLoad: (load: string) => boolean,
): void {
	const load = result.kind === attemptResultKinds.lost ? undefined : result.load;
	writeAttemptResult(response, result, listLoadHeader(load, grantLoad));
}

function listLoadHeader(
	load: string | undefined,
	grantLoad: (load: string) => boolean,
): string[] {
	return load !== undefined && grantLoad(load) ? [headerNames.load, load] : [];
}
