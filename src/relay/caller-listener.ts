/**
 * The listener for callers: finds the route of each request, runs it, and returns the server's
 * complete response or a refusal that states whether the request ran. Owns the callers' connections
 * and the calls in flight on them.
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
	createCallerConnections,
	createMalformedHeadRefusal,
	findRequestHeadFault,
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
	type Team,
} from '../routes/index.js';
import {combineHomes} from '../teams/index.js';
import type {InboundLink} from '../waiting/index.js';
import type {RelayCall} from './call.js';
import {chooseTimeout, createBodyTimeoutRefusal, limitStream} from './call-deadline.js';
import type {AdmitCaller, ReturnAllowance, SpendAllowance} from './caller-admission.js';
import type {RunRelayCall} from './call-runner.js';
import type {FindParent} from './call-origin.js';
import type {ParentRequest} from './gate-types.js';
import type {CallerRequestMetadata, PlatformProtocol} from './platform-protocol.js';
import {receiveBody} from './receive-body.js';
import type {ActiveRoutes} from './active-routes.js';

export type CallerListenerOptions = {
	readonly protocol: PlatformProtocol;
	readonly log: Logger;
	readonly routes: () => ActiveRoutes | undefined;
	readonly run: RunRelayCall;
	/** Decides whether a request may enter, from its route and what it says of its caller. */
	readonly admitCaller: AdmitCaller;
	/** Spends from the allowance of the request's team, if it has one. */
	readonly spendAllowance: SpendAllowance;
	readonly returnAllowance: ReturnAllowance;
	/** Service of the local server, given as the origin of the calls. */
	readonly service: string;
	/** Finds the request at the local server that made a call. */
	readonly findParent: FindParent;
	/** The link over which bodies reach this VM. */
	readonly inboundLink: InboundLink;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	readonly onCallEnd: (end: CallEnd) => void;
};

/** How a request ended, for the metrics. */
export type CallEnd = {
	readonly route: string;
	readonly status: number;
	readonly milliseconds: number;
	readonly outcome: Outcome;
	/** Bytes of the response's body. */
	readonly bytes: number;
};

export type CallerListener = {
	/** Not yet bound. */
	readonly server: Server;
	/**
	 * From now on each response closes its connection, so that callers go elsewhere, and a call that
	 * may last beyond this monotonic time is refused.
	 */
	readonly drain: (stopsAt: number) => void;
	readonly countInFlight: () => number;
	/** Monotonic time of the last request. */
	readonly lastRequestAt: () => number;
};

/** Timeout for the headers of a request before any routes are known. */
const headerTimeoutMilliseconds = 10_000;
const headerTimeoutCheckMilliseconds = 1000;
/** Timeout of idle connections before any routes are known. */
const idleTimeoutMilliseconds = 60_000;
const maximumHeaderBytes = 65_536;
/** When to retry at a node without routes. */
const notReadyRetryMilliseconds = 300;
/** When to retry a call refused by a stopping node. */
const leavingRetryMilliseconds = 300;

/**
 * Creates the listener.
 *
 * @param options the routes, the runner of calls, log and clock
 * @returns the listener, not yet bound
 */
export function createCallerListener(options: CallerListenerOptions): CallerListener {
	const {protocol, log, now} = options;
	const server = createServer({
		keepAliveTimeout: idleTimeoutMilliseconds,
		headersTimeout: headerTimeoutMilliseconds,
		connectionsCheckingInterval: headerTimeoutCheckMilliseconds,
		requestTimeout: 0,
		maxHeaderSize: maximumHeaderBytes,
		noDelay: true,
	});
	const connections = createCallerConnections({
		isIdempotent: request => matchRoute(request, options.routes())?.idempotent ?? false,
		start: handleRequest,
		refuseMalformed(error, connection, state) {
			log.info('request malformed', {reason: error.message});
			refuseMalformed(error, connection, state);
		},
		now,
	});
	const roundRobin = createRoundRobinState();
	let inFlight = 0;
	let stopsAt = Number.POSITIVE_INFINITY;
	let lastRequestAt = now();

	function receive(request: IncomingMessage, response: ServerResponse): void {
		lastRequestAt = now();
		inFlight += 1;
		response.once('close', () => {
			inFlight -= 1;
		});
		connections.add(request, response);
	}

	function handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
		arrivedAt: number,
	): void {
		const metadata = protocol.readCallerHeaders(request.rawHeaders);
		const fault = findRequestHeadFault(request);
		if (fault !== undefined) {
			refuse(response, metadata, createMalformedHeadRefusal(fault));
			return;
		}

		const activeRoutes = options.routes();
		if (activeRoutes === undefined) {
			const message =
				'this node has no routes yet: try another node, or try again shortly';
			const refusal = createRefusal(
				refusalKinds.notReady,
				message,
				notReadyRetryMilliseconds,
			);
			refuse(response, metadata, refusal);
			return;
		}

		server.keepAliveTimeout = activeRoutes.table.limits.idleTimeoutMilliseconds;
		const route = matchRoute(request, activeRoutes);
		if (route === undefined) {
			const message = `no route of version ${activeRoutes.table.version} matches: check host and path`;
			refuse(response, metadata, createRefusal(refusalKinds.unknownService, message));
			return;
		}

		const length = Number(findHeader(request.rawHeaders, 'content-length') ?? 0);
		if (length > activeRoutes.table.limits.maximumBodyBytes) {
			const message = `the body is over ${activeRoutes.table.limits.maximumBodyBytes} bytes: send less`;
			refuse(response, metadata, createRefusal(refusalKinds.bodyTooLarge, message));
			return;
		}

		const parent = options.findParent(metadata, request.socket);
		const nested = parent !== undefined;
		const claim = {route, key: metadata.teamKey, nested};
		const admission = options.admitCaller(activeRoutes, claim, now());
		if (admission.isErr()) {
			refuse(response, metadata, admission.error);
			return;
		}

		const team = admission.value;
		const deadlineAt = arrivedAt + chooseTimeout(metadata, route);
		const timer = setTimeout(() => {
			refuse(response, metadata, createBodyTimeoutRefusal());
		}, deadlineAt - now());
		response.once('close', () => {
			clearTimeout(timer);
		});
		receiveBody(request, options.inboundLink, body => {
			clearTimeout(timer);
			if (response.closed || response.headersSent) {
				return;
			}

			const received = {metadata, route, arrivedAt, deadlineAt, body, parent, team};
			const call = createCall(request, received, activeRoutes);
			void admitCall(response, call, received, activeRoutes);
		});
	}

	/** Starts a call once its team's allowance covers it. */
	async function admitCall(
		response: ServerResponse,
		call: RelayCall,
		received: ReceivedRequest,
		activeRoutes: ActiveRoutes,
	): Promise<void> {
		const {metadata, team} = received;
		const refusal = team && (await options.spendAllowance(team));
		if (refusal) {
			if (!response.closed) {
				refuse(response, metadata, refusal);
			}

			return;
		}

		if (response.closed) {
			returnAllowance(call);
			return;
		}

		start(response, call, metadata, activeRoutes);
	}

	function start(
		response: ServerResponse,
		call: RelayCall,
		metadata: CallerRequestMetadata,
		activeRoutes: ActiveRoutes,
	): void {
		if (call.deadlineAt > stopsAt) {
			returnAllowance(call);
			const message = 'this node is stopping: send the request to another node';
			const delay = leavingRetryMilliseconds;
			refuse(response, metadata, createRefusal(refusalKinds.leaving, message, delay));
			return;
		}

		log.info('call received', {
			request: call.requestId,
			route: call.route,
			service: call.service,
			routesVersion: activeRoutes.table.version,
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
			if (isNotRun(result)) {
				returnAllowance(call);
			}

			finish(response, call, metadata, result);
		});
	}

	function returnAllowance({team, arrivedAt}: RelayCall): void {
		if (team !== undefined) {
			options.returnAllowance(team, arrivedAt);
		}
	}

	function createCall(
		request: IncomingMessage,
		received: ReceivedRequest,
		activeRoutes: ActiveRoutes,
	): RelayCall {
		const {metadata, route, arrivedAt, deadlineAt, body, parent, team} = received;
		const headers = copyEndToEndHeaders(request.rawHeaders);
		return {
			requestId: metadata.requestId ?? '',
			route: route.name,
			service: chooseService(roundRobin, route),
			method: request.method!,
			path: request.url!,
			headers: activeRoutes.teams.isRequired
				? protocol.removeTeamHeaders(headers)
				: headers,
			body,
			originService: options.service,
			rank: team?.rank ?? route.rank,
			idempotent: route.idempotent,
			nested: parent !== undefined,
			repeated: parent?.isRepeated ?? false,
			targetMilliseconds: route.targetMilliseconds,
			arrivedAt,
			targetAt: arrivedAt + route.targetMilliseconds,
			deadlineAt,
			maximumAttempts: route.maximumAttempts,
			team: team?.name,
			homes: combineHomes(route.homes, team?.homes ?? []),
		};
	}

	function finish(
		response: ServerResponse,
		call: RelayCall,
		metadata: CallerRequestMetadata,
		result: AttemptResult,
	): void {
		if (response.closed) {
			log.info('caller left', describeEnd(call, 0, outcomes.unknown));
			return;
		}

		if (result.kind === attemptResultKinds.answered) {
			const bytes = isBuffered(result.body) ? result.body.length : 0;
			recordEnd(call, {status: result.status, outcome: outcomes.ran, bytes});
			connections.prepareResponse(response);
			writeResponse(response, result);
			limitStream(result.body, call.deadlineAt - now());
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
			{status: protocol.chooseStatus(refusal, outcome), outcome, bytes: 0},
			refusal,
		);
		writeRefusalResponse(response, metadata, refusal, outcome);
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

	/** Refuses a request of which nothing was forwarded. */
	function refuse(
		response: ServerResponse,
		metadata: CallerRequestMetadata,
		refusal: Refusal,
	): void {
		log.info('call refused', {
			request: metadata.requestId,
			refusal: refusal.kind,
			reason: refusal.message,
			routesVersion: options.routes()?.table.version,
		});
		writeRefusalResponse(response, metadata, refusal, outcomes.notRun);
	}

	function writeRefusalResponse(
		response: ServerResponse,
		metadata: CallerRequestMetadata,
		refusal: Refusal,
		outcome: Outcome,
	): void {
		const status = protocol.chooseStatus(refusal, outcome);
		const extra = protocol.buildRefusalHeaders(metadata.requestId, refusal);
		// The platform's protocol has its own header for the retry delay.
		const withoutRetryAfter = {...refusal, status, retryAfterMilliseconds: undefined};
		connections.prepareResponse(response);
		writeRefusal(response, withoutRetryAfter, outcome, extra);
	}

	server.on('request', receive);
	server.on('clientError', connections.endAfterMalformed);
	return {
		server,
		drain(end) {
			stopsAt = end;
			connections.drain();
		},
		countInFlight: () => inFlight,
		lastRequestAt: () => lastRequestAt,
	};
}

function matchRoute(
	request: IncomingMessage,
	activeRoutes: ActiveRoutes | undefined,
): Route | undefined {
	const host = findHeader(request.rawHeaders, 'host') ?? '';
	return activeRoutes && findRoute(activeRoutes.index, host, request.url!);
}

function isNotRun(result: AttemptResult): boolean {
	return result.kind === attemptResultKinds.refused && result.outcome === outcomes.notRun;
}

type ReceivedRequest = {
	readonly metadata: CallerRequestMetadata;
	readonly route: Route;
	/** Monotonic time in milliseconds. */
	readonly arrivedAt: number;
	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
	readonly body: Body;
	/** The running request that made it, if any. */
	readonly parent: ParentRequest | undefined;
	readonly team: Team | undefined;
};
