/**
 * The ingress: accepts calls, passes them to the call runner, and answers with the server's whole
 * response or a typed refusal that says correctly whether the request ran. It owns the data
 * listener and the calls in flight on it.
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
	createRefusal,
	headerNames,
	isBuffered,
	outcomes,
	parseCallHead,
	refusalKinds,
	type AttemptResult,
	type CallHead,
	type CallPolicy,
	type Outcome,
} from '../call/index.js';
import {
	createOpenCalls,
	findRequestHeadFault,
	hasSmallBody,
	readSmallBody,
	refuseMalformed,
	refuseMalformedHead,
	writeResponse,
	writeRefusal,
} from '../http/index.js';
import type {RunCall} from './call-runner.js';
import type {CallRequest} from './call-state.js';

/** Dependencies of the ingress. */
export type IngressOptions = {
	/** Current time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	readonly findPolicy: (service: string) => CallPolicy | undefined;
	/** Why the node cannot serve calls yet; `undefined` when it can. */
	readonly findUnreadiness: () => string | undefined;
	readonly runCall: RunCall;
	/** Answers a request to the node itself; false if it is a call. */
	readonly handleNodeRequest: (
		request: IncomingMessage,
		response: ServerResponse,
	) => boolean;
};

export type Ingress = {
	/** The data listener; the caller binds it. */
	readonly server: Server;
	/** Closes each connection after its next response, so that callers use other nodes. */
	readonly startDraining: () => void;
	readonly state: () => IngressState;
	/** Resolves once no call is in flight. */
	readonly drained: () => Promise<void>;
};

export type IngressState = {
	readonly inFlight: number;
	readonly calls: number;
	readonly leaving: boolean;
};

const headerTimeoutMilliseconds = 10_000;
const headerTimeoutCheckMilliseconds = 1000;
const idleConnectionMilliseconds = 60_000;
const notReadyRetryMilliseconds = 1000;
const maximumHeaderBytes = 16_384;

/**
 * Creates the ingress.
 *
 * @param options its dependencies
 * @returns the ingress, not yet listening
 */
export function createIngress(options: IngressOptions): Ingress {
	const server = createServer({
		keepAliveTimeout: idleConnectionMilliseconds,
		headersTimeout: headerTimeoutMilliseconds,
		connectionsCheckingInterval: headerTimeoutCheckMilliseconds,
		// No limit, since a large upload may be slow; requests are bounded by their deadline instead.
		requestTimeout: 0,
		maxHeaderSize: maximumHeaderBytes,
		noDelay: true,
	});
	const openCalls = createOpenCalls();
	const idleWaiters: Array<() => void> = [];
	let inFlight = 0;
	let calls = 0;
	let draining = false;

	function receive(request: IncomingMessage, response: ServerResponse): void {
		calls += 1;
		inFlight += 1;
		response.once('close', handleCallClose);
		openCalls.add(request, response);
		if (draining) {
			response.shouldKeepAlive = false;
		}

		const fault = findRequestHeadFault(request);
		if (fault !== undefined) {
			refuseMalformedHead(response, fault);
			return;
		}

		if (options.handleNodeRequest(request, response)) {
			return;
		}

		const unreadiness = options.findUnreadiness();
		if (unreadiness !== undefined) {
			const message = `${unreadiness}, or send the call to another node`;
			const refusal = createRefusal(
				refusalKinds.notReady,
				message,
				notReadyRetryMilliseconds,
			);
			writeRefusal(response, refusal, findOutcomeWhenNotReady(request));
			return;
		}

		const parsed = parseCallHead(
			{
				method: request.method!,
				path: request.url!,
				headers: request.headers,
				remoteAddress: request.socket.remoteAddress ?? 'unknown',
			},
			options.findPolicy,
			options.now(),
		);
		if (parsed.isErr()) {
			writeRefusal(response, parsed.error, outcomes.notRun);
			return;
		}

		receiveBody(parsed.value, request, response);
	}

	function handleCallClose(): void {
		inFlight -= 1;
		if (inFlight > 0) {
			return;
		}

		for (const resolve of idleWaiters.splice(0)) {
			resolve();
		}
	}

	function receiveBody(
		head: CallHead,
		request: IncomingMessage,
		response: ServerResponse,
	): void {
		const headers = copyEndToEndHeaders(request.rawHeaders);
		if (!hasSmallBody(request)) {
			startCall({head, headers, body: request}, response);
			return;
		}

		const remainingMilliseconds = head.deadlineAt - options.now();
		const stopTimer = startBodyTimer(request, response, remainingMilliseconds);
		readSmallBody(request, body => {
			stopTimer?.();
			if (!response.headersSent) {
				startCall({head, headers, body}, response);
			}
		});
	}

	function startCall(request: CallRequest, response: ServerResponse): void {
		const running = options.runCall(request);
		response.once('close', running.cancel);
		void running.result.then(result => {
			finishCall(response, result);
		});
	}

	server.on('request', receive);
	server.on('clientError', (error, socket) => {
		refuseMalformed(error, socket, openCalls.getConnectionState(socket));
	});
	server.on('connect', (_request, socket) => {
		refuseMalformed(
			new Error('CONNECT is not supported'),
			socket,
			openCalls.getConnectionState(socket),
		);
	});
	return {
		server,
		startDraining() {
			draining = true;
		},
		state: () => ({inFlight, calls, leaving: draining}),
		async drained() {
			if (inFlight === 0) {
				return;
			}

			await new Promise<void>(resolve => {
				idleWaiters.push(resolve);
			});
		},
	};
}

/** An earlier request with the same key may have run; only the key's home knows. */
function findOutcomeWhenNotReady({headers}: IncomingMessage): Outcome {
	const mayBeResent =
		headers[headerNames.idempotencyKey] !== undefined &&
		headers[headerNames.sending] !== '1';
	return mayBeResent ? outcomes.unknown : outcomes.notRun;
}

function finishCall(response: ServerResponse, result: AttemptResult): void {
	if (response.closed) {
		discardResult(result);
		return;
	}

	if (result.kind === attemptResultKinds.answered) {
		writeResponse(response, result);
		return;
	}

	if (result.kind === attemptResultKinds.refused) {
		writeRefusal(response, result.refusal, result.outcome);
		return;
	}

	const refusal = createRefusal(
		refusalKinds.serverFailed,
		`the connection was lost (${result.message}): only idempotent requests may be sent again`,
	);
	writeRefusal(response, refusal, outcomes.unknown);
}

/** Discards a late response; its stream is destroyed so that the connection is freed. */
function discardResult(result: AttemptResult): void {
	if (result.kind === attemptResultKinds.answered && !isBuffered(result.body)) {
		result.body.destroy();
	}
}

/** Refuses a small body that is not complete by the deadline; none of it has been sent to a server. */
function startBodyTimer(
	request: IncomingMessage,
	response: ServerResponse,
	remainingMilliseconds: number,
): (() => void) | undefined {
	const length = request.headers['content-length'];
	if (length === undefined || length === '0') {
		return undefined;
	}

	const timer = setTimeout(refuseSlowBody, remainingMilliseconds, response);
	const stop = (): void => {
		clearTimeout(timer);
	};

	response.once('close', stop);
	return stop;
}

function refuseSlowBody(response: ServerResponse): void {
	response.shouldKeepAlive = false;
	const refusal = createRefusal(
		refusalKinds.deadlineExceeded,
		'the body was not complete before the deadline: send all of it, or allow more time',
	);
	writeRefusal(response, refusal, outcomes.notRun);
}
