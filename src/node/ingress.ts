/**
 * The ingress: takes calls from callers, picks a server for each, and answers with the server's
 * whole answer or a typed refusal that says truthfully whether the request ran. It owns the data
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
	hasSmallBody,
	readSmallBody,
	refuseMalformed,
	writeResponse,
	writeRefusal,
} from '../http/index.js';
import type {RunCall} from './call-runner.js';
import type {CallRequest} from './call-state.js';

/** What the ingress needs of the node around it. */
export type IngressOptions = {
	/** Present time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	readonly findPolicy: (service: string) => CallPolicy | undefined;
	/** Why no call may be served yet; `undefined` when calls may. */
	readonly findUnreadiness: () => string | undefined;
	readonly runCall: RunCall;
	/** Answers a request to the node itself; false when the request is a call. */
	readonly handleNodeRequest: (
		request: IncomingMessage,
		response: ServerResponse,
	) => boolean;
};

export type Ingress = {
	/** The data listener; the caller binds it. */
	readonly server: Server;
	/** From now on each answer closes its connection, so that callers go elsewhere. */
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

const headTimeoutMilliseconds = 10_000;
const slowHeadCheckMilliseconds = 1000;
const idleConnectionMilliseconds = 60_000;
const notReadyMilliseconds = 1000;
const headLimitBytes = 16_384;

/**
 * Creates the ingress.
 *
 * @param options what the ingress needs of the node around it
 * @returns the ingress, not yet listening
 */
export function createIngress(options: IngressOptions): Ingress {
	const server = createServer({
		keepAliveTimeout: idleConnectionMilliseconds,
		headersTimeout: headTimeoutMilliseconds,
		connectionsCheckingInterval: slowHeadCheckMilliseconds,
		// A large upload may be slow; a request is bounded by its deadline instead.
		requestTimeout: 0,
		maxHeaderSize: headLimitBytes,
		noDelay: true,
	});
	const openCalls = createOpenCalls();
	const idleWaiters: Array<() => void> = [];
	let inFlight = 0;
	let calls = 0;
	let leaving = false;

	function receive(request: IncomingMessage, response: ServerResponse): void {
		calls += 1;
		inFlight += 1;
		response.once('close', settleCall);
		openCalls.add(request, response);
		if (leaving) {
			response.shouldKeepAlive = false;
		}

		if (options.handleNodeRequest(request, response)) {
			return;
		}

		const unreadiness = options.findUnreadiness();
		if (unreadiness !== undefined) {
			const message = `${unreadiness}, or send the call to another node`;
			const refusal = createRefusal(refusalKinds.notReady, message, notReadyMilliseconds);
			writeRefusal(response, refusal, outcomeBeforeHome(request));
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

	function settleCall(): void {
		inFlight -= 1;
		if (inFlight > 0) {
			return;
		}

		for (const wake of idleWaiters.splice(0)) {
			wake();
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

		const remaining = head.deadlineAt - options.now();
		const stopWatching = watchSlowBody(request, response, remaining);
		readSmallBody(request, body => {
			stopWatching?.();
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
			new Error('tunnels are not served'),
			socket,
			openCalls.getConnectionState(socket),
		);
	});
	return {
		server,
		startDraining() {
			leaving = true;
		},
		state: () => ({inFlight, calls, leaving}),
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

/** An earlier sending of a key may have run; only the home of the key can tell. */
function outcomeBeforeHome({headers}: IncomingMessage): Outcome {
	const mayBeResent =
		headers[headerNames.idempotencyKey] !== undefined &&
		headers[headerNames.sending] !== '1';
	return mayBeResent ? outcomes.unknown : outcomes.notRun;
}

function finishCall(response: ServerResponse, result: AttemptResult): void {
	if (response.closed) {
		discard(result);
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
		`contact was lost (${result.message}): send idempotent requests again`,
	);
	writeRefusal(response, refusal, outcomes.unknown);
}

/** An answer nobody waits for: its stream is closed so that its connection is freed. */
function discard(result: AttemptResult): void {
	if (result.kind === attemptResultKinds.answered && !isBuffered(result.body)) {
		result.body.destroy();
	}
}

/** No byte of a small body goes to a server before the whole of it has come. */
function watchSlowBody(
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
		'the body did not come before the deadline: send it whole, or allow more time',
	);
	writeRefusal(response, refusal, outcomes.notRun);
}
