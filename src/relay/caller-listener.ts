/**
 * The listener for callers: finds the route of each request, runs it, and answers with the
 * server's whole answer or a refusal that says truthfully whether the request ran. It owns the
 * callers' connections and the calls in flight on them.
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
	findHeader,
	isBuffered,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type Body,
	type Outcome,
	type Refusal,
} from '../call/index.js';
import {
	createOpenCalls,
	refuseMalformed,
	writeResponse,
	writeRefusal,
} from '../http/index.js';
import type {Logger} from '../log/index.js';
import {
	chooseService,
	createRoundRobinState,
	findRoute,
	type Route,
} from '../routes/index.js';
import type {InboundLink} from '../waiting/index.js';
import type {RelayCall} from './call.js';
import type {RunRelayCall} from './call-runner.js';
import type {CallerRequestMetadata, PlatformProtocol} from './platform-protocol.js';
import {receiveBody} from './receive-body.js';
import type {ActiveRoutes} from './active-routes.js';

export type CallerListenerOptions = {
	readonly protocol: PlatformProtocol;
	readonly log: Logger;
	readonly routes: () => ActiveRoutes | undefined;
	readonly run: RunRelayCall;
	/** Service of the server beside the node, in whose name requests begin here. */
	readonly service: string;
	/** Whether the own server runs the request that made the one with this id. */
	readonly isParentRunning: (requestId: string) => boolean;
	/** The link over which bodies reach this VM. */
	readonly inboundLink: InboundLink;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Is told how each request ended. */
	readonly onCallEnd: (end: CallEnd) => void;
};

/** How a request ended, for the metrics. */
export type CallEnd = {
	readonly route: string;
	readonly status: number;
	readonly milliseconds: number;
	readonly outcome: Outcome;
	/** Bytes of the answer's body. */
	readonly bytes: number;
};

export type CallerListener = {
	/** The caller binds it. */
	readonly server: Server;
	/**
	 * From now on each answer closes its connection, so that callers go elsewhere, and a request
	 * that may last beyond the monotonic time of the end is refused.
	 */
	readonly drain: (endsAt: number) => void;
	readonly countInFlight: () => number;
	/** Monotonic time of the last request. */
	readonly lastRequestAt: () => number;
};

/** Time for a head to come before any routes are known, in milliseconds. */
const headTimeoutMilliseconds = 10_000;
const slowHeadCheckMilliseconds = 1000;
/** Idle time of connections before any routes are known, in milliseconds. */
const idleMilliseconds = 60_000;
const headLimitBytes = 65_536;
/** When a node without routes is worth asking again, in milliseconds. */
const notReadyRetryMilliseconds = 300;
/** When a caller of a node that stops is worth sending again, in milliseconds. */
const leavingRetryMilliseconds = 300;

/**
 * Creates the listener.
 *
 * @param options the routes in force, what runs calls, log and clock
 * @returns the listener, not yet bound
 */
export function createCallerListener(options: CallerListenerOptions): CallerListener {
	const {protocol: dialect, log, now} = options;
	const server = createServer({
		keepAliveTimeout: idleMilliseconds,
		headersTimeout: headTimeoutMilliseconds,
		connectionsCheckingInterval: slowHeadCheckMilliseconds,
		requestTimeout: 0,
		maxHeaderSize: headLimitBytes,
		noDelay: true,
	});
	const openCalls = createOpenCalls();
	const shares = createRoundRobinState();
	let inFlight = 0;
	let endsAt = Number.POSITIVE_INFINITY;
	let lastRequestAt = now();

	function receive(request: IncomingMessage, response: ServerResponse): void {
		const arrivedAt = now();
		lastRequestAt = arrivedAt;
		inFlight += 1;
		openCalls.add(request, response);
		response.once('close', () => {
			inFlight -= 1;
		});
		if (endsAt < Number.POSITIVE_INFINITY) {
			response.shouldKeepAlive = false;
		}

		const head = dialect.readCallerHeaders(request.rawHeaders);
		const inForce = options.routes();
		if (inForce === undefined) {
			const message = 'no routes are known here yet: try another node or again shortly';
			const refusal = createRefusal(
				refusalKinds.notReady,
				message,
				notReadyRetryMilliseconds,
			);
			refuse(response, head, refusal);
			return;
		}

		server.keepAliveTimeout = inForce.table.limits.idleTimeoutMilliseconds;
		const host = findHeader(request.rawHeaders, 'host') ?? '';
		const route = findRoute(inForce.index, host, request.url!);
		if (route === undefined) {
			const message = `no route of version ${inForce.table.version} matches: check host and path`;
			refuse(response, head, createRefusal(refusalKinds.unknownService, message));
			return;
		}

		const length = Number(findHeader(request.rawHeaders, 'content-length') ?? 0);
		if (length > inForce.table.limits.maximumBodyBytes) {
			const message = `the body is over ${inForce.table.limits.maximumBodyBytes} bytes: send less`;
			refuse(response, head, createRefusal(refusalKinds.bodyTooLarge, message));
			return;
		}

		receiveBody(request, options.inboundLink, body => {
			if (!response.closed) {
				start(request, response, {metadata: head, route, arrivedAt, body}, inForce);
			}
		});
	}

	function start(
		request: IncomingMessage,
		response: ServerResponse,
		received: ReceivedRequest,
		inForce: ActiveRoutes,
	): void {
		const call = createCall(request, received);
		if (call.deadlineAt > endsAt) {
			const message = 'this node stops before an answer is sure: send it to another node';
			const pause = leavingRetryMilliseconds;
			refuse(
				response,
				received.metadata,
				createRefusal(refusalKinds.leaving, message, pause),
			);
			return;
		}

		log.info('call received', {
			request: call.requestId,
			route: call.route,
			service: call.service,
			routesVersion: inForce.table.version,
			rank: call.rank,
			nested: call.nested,
			idempotent: call.idempotent,
			deadlineMilliseconds: Math.round(call.deadlineAt - now()),
			bodyBytes: isBuffered(call.body) ? call.body.length : undefined,
		});
		const running = options.run(call);
		response.once('close', running.cancel);
		void running.result.then(result => {
			response.removeListener('close', running.cancel);
			finish(response, call, received.metadata, result);
		});
	}

	function createCall(request: IncomingMessage, received: ReceivedRequest): RelayCall {
		const {metadata: head, route, arrivedAt, body} = received;
		const patience = head.timeoutMilliseconds ?? Number.POSITIVE_INFINITY;
		return {
			requestId: head.requestId ?? '',
			route: route.name,
			service: chooseService(shares, route),
			method: request.method!,
			path: request.url!,
			headers: copyEndToEndHeaders(request.rawHeaders),
			body,
			originService: options.service,
			rank: route.rank,
			idempotent: route.idempotent,
			nested: options.isParentRunning(head.requestId ?? ''),
			targetMilliseconds: route.targetMilliseconds,
			arrivedAt,
			targetAt: arrivedAt + route.targetMilliseconds,
			deadlineAt: arrivedAt + Math.min(patience, route.timeoutMilliseconds),
			maximumAttempts: route.maximumAttempts,
		};
	}

	function finish(
		response: ServerResponse,
		call: RelayCall,
		head: CallerRequestMetadata,
		result: AttemptResult,
	): void {
		if (response.closed) {
			log.info('caller left', describeEnd(call, 0, outcomes.unknown));
			return;
		}

		if (result.kind === attemptResultKinds.answered) {
			const bytes = isBuffered(result.body) ? result.body.length : 0;
			recordEnd(call, {status: result.status, outcome: outcomes.ran, bytes});
			writeResponse(response, result);
			return;
		}

		const outcome =
			result.kind === attemptResultKinds.refused ? result.outcome : outcomes.unknown;
		const refusal =
			result.kind === attemptResultKinds.refused
				? result.refusal
				: createRefusal(refusalKinds.serverFailed, result.message);
		recordEnd(
			call,
			{status: dialect.chooseStatus(refusal, outcome), outcome, bytes: 0},
			refusal,
		);
		write(response, head, refusal, outcome);
	}

	function recordEnd(
		call: RelayCall,
		end: Pick<CallEnd, 'status' | 'outcome' | 'bytes'>,
		refusal?: Refusal,
	): void {
		const milliseconds = now() - call.arrivedAt;
		log.info('call answered', {
			...describeEnd(call, end.status, end.outcome),
			refusal: refusal?.kind,
			reason: refusal?.message,
			retryAfterMilliseconds: refusal?.retryAfterMilliseconds,
		});
		options.onCallEnd({...end, route: call.route, milliseconds});
	}

	function describeEnd(call: RelayCall, status: number, outcome: Outcome) {
		return {
			request: call.requestId,
			route: call.route,
			status,
			outcome,
			milliseconds: Math.round(now() - call.arrivedAt),
		};
	}

	/** Refuses a request before anything of it was sent on. */
	function refuse(
		response: ServerResponse,
		head: CallerRequestMetadata,
		refusal: Refusal,
	): void {
		log.info('call refused', {
			request: head.requestId,
			refusal: refusal.kind,
			reason: refusal.message,
			routesVersion: options.routes()?.table.version,
		});
		write(response, head, refusal, outcomes.notRun);
	}

	function write(
		response: ServerResponse,
		head: CallerRequestMetadata,
		refusal: Refusal,
		outcome: Outcome,
	): void {
		const status = dialect.chooseStatus(refusal, outcome);
		const extra = dialect.buildRefusalHeaders(head.requestId, refusal);
		// The adapter's language has its own header for the pause.
		const bare = {...refusal, status, retryAfterMilliseconds: undefined};
		writeRefusal(response, bare, outcome, extra);
	}

	server.on('request', receive);
	server.on('clientError', (error, socket) => {
		log.info('request malformed', {reason: error.message});
		refuseMalformed(error, socket, openCalls.getConnectionState(socket));
	});
	return {
		server,
		drain(end) {
			endsAt = end;
		},
		countInFlight: () => inFlight,
		lastRequestAt: () => lastRequestAt,
	};
}

type ReceivedRequest = {
	readonly metadata: CallerRequestMetadata;
	readonly route: Route;
	/** Monotonic milliseconds. */
	readonly arrivedAt: number;
	readonly body: Body;
};
