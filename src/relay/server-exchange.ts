/** Sends requests and health questions to the local server, and owns the connections to it. */
import {Agent} from 'node:http';
import {isBuffered, type Body} from '../call/index.js';
import {exchangeKinds, startExchange, type ExchangeResult} from '../http/index.js';
import type {RelayCall} from './call.js';
import type {PlatformProtocol, ServerHealth} from './platform-protocol.js';
import {
	classifyResponse,
	createLostResult,
	createUnreachableResult,
	findResponseFault,
	type ServerResult,
} from './server-result.js';

/** Responses up to this size are buffered until they are complete. */
export const maximumBufferedResponseBytes = 1_048_576;
/** The server runs on the same VM, where connecting takes about a millisecond. */
const connectTimeoutMilliseconds = 500;
/** Idle keep-alive connections are closed well before a server closes them. */
const idleConnectionMilliseconds = 4000;
/** How long keep-alive connections are avoided after a lost or mismatched response. */
const pooledAvoidanceMilliseconds = 10_000;
/** Maximum attempts to send a request when connections prove stale before anything is sent. */
const maximumConnectionAttempts = 3;
/** The health path responds in about a millisecond. */
const probeTimeoutMilliseconds = 40;
/** The second probe uses a new connection and gets more time. */
const secondProbeTimeoutMilliseconds = 150;
/** A timer that fires later than this shows that this process was slow, not the server. */
const lateTimerMilliseconds = 30;

const emptyBody = new Uint8Array(0);
const unknownHealth: ServerHealth = {
	isHealthy: false,
	serverId: undefined,
	slots: undefined,
	slowdown: undefined,
	coldMilliseconds: undefined,
	requestsPerSecond: undefined,
	isLeaving: false,
};

/** The server that the gate sends to. */
export type ServerTarget = {
	readonly id: string | undefined;
	readonly host: string;
	readonly port: number;
};

export type RunningServerExchange = {
	/** Never rejects. */
	readonly result: Promise<ServerResult>;
	readonly cancel: () => void;
};

export type ServerClient = {
	readonly start: (target: ServerTarget, call: RelayCall) => RunningServerExchange;
	/** Requests the server's health path; undefined on a timeout. */
	readonly probe: (
		target: ServerTarget,
		path: string,
	) => Promise<ServerHealth | undefined>;
	/** Stops using the current connections, for instance after the server was restarted. */
	readonly discardConnections: () => void;
	readonly close: () => void;
};

export type ServerClientOptions = {
	readonly protocol: PlatformProtocol;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Maximum number of connections that the server accepts. */
	readonly maximumConnections: number;
};

/**
 * Creates the client of the local server.
 *
 * @param options the platform's protocol, the connection limit and the clock
 * @returns the client
 */
export function createServerClient(options: ServerClientOptions): ServerClient {
	const {protocol, now} = options;
	const unpooled = new Agent({
		keepAlive: false,
		maxSockets: options.maximumConnections,
	});
	let pooled = createKeepAliveAgent(options);
	let avoidPooledUntil = Number.NEGATIVE_INFINITY;

	function start(target: ServerTarget, call: RelayCall): RunningServerExchange {
		const progress = {isCancelled: false};
		let running = send(target, call);
		const cancel = (): void => {
			progress.isCancelled = true;
			running.cancel();
		};

		const follow = async (): Promise<ServerResult> => {
			let result = await running.result;
			for (
				let tries = 1;
				tries < maximumConnectionAttempts && !progress.isCancelled;
				tries += 1
			) {
				if (result.kind !== exchangeKinds.unsent || !result.isStale) {
					break;
				}

				running = send(target, call);
				result = await running.result;
			}

			return classifyResult(result, call);
		};

		return {result: follow(), cancel};
	}

	function send(target: ServerTarget, call: RelayCall) {
		const avoidsPooled = now() < avoidPooledUntil;
		const metadata = {
			serverId: target.id,
			originService: call.originService,
			team: call.team,
			remainingMilliseconds: Math.max(1, Math.floor(call.deadlineAt - now())),
		};
		return startExchange({
			agent: avoidsPooled && !call.idempotent ? unpooled : pooled,
			host: target.host,
			port: target.port,
			method: call.method,
			path: call.path,
			headers: protocol.buildServerHeaders(call.headers, metadata),
			body: call.body,
			awaitContinue: false,
			connectTimeoutMilliseconds,
			bufferLimitBytes: maximumBufferedResponseBytes,
		});
	}

	function classifyResult(result: ExchangeResult, call: RelayCall): ServerResult {
		if (result.kind === exchangeKinds.answered) {
			const metadata = protocol.readServerResponse(result.status, result.rawHeaders);
			const fault = findResponseFault(result, metadata, call);
			if (fault !== undefined) {
				avoidPooledConnections();
				discardConnections();
			}

			if (fault !== undefined || metadata.declaredNotRun || metadata.isOtherServer) {
				discardBody(result.body);
			}

			return fault === undefined
				? classifyResponse(result, metadata)
				: createLostResult(fault, metadata);
		}

		if (result.kind === exchangeKinds.unsent) {
			return createUnreachableResult(result.message);
		}

		avoidPooledConnections();
		return createLostResult(result.message);
	}

	function avoidPooledConnections(): void {
		avoidPooledUntil = now() + pooledAvoidanceMilliseconds;
	}

	function discardConnections(): void {
		const previous = pooled;
		pooled = createKeepAliveAgent(options);
		// Requests in flight finish on the old connections, which are not used again.
		previous.maxFreeSockets = 0;
		for (const socket of Object.values(previous.freeSockets).flat()) {
			socket?.destroy();
		}
	}

	async function probe(
		target: ServerTarget,
		path: string,
	): Promise<ServerHealth | undefined> {
		const health = await fetchHealth(pooled, target, path, probeTimeoutMilliseconds);
		return health ?? fetchHealth(unpooled, target, path, secondProbeTimeoutMilliseconds);
	}

	async function fetchHealth(
		agent: Agent,
		target: ServerTarget,
		path: string,
		timeoutMilliseconds: number,
	): Promise<ServerHealth | undefined> {
		const sentAt = now();
		const exchange = startExchange({
			agent,
			host: target.host,
			port: target.port,
			method: 'GET',
			path,
			headers: [],
			body: emptyBody,
			awaitContinue: false,
			connectTimeoutMilliseconds: timeoutMilliseconds,
			bufferLimitBytes: 0,
		});
		const timer = setTimeout(exchange.cancel, timeoutMilliseconds);
		const result = await exchange.result;
		clearTimeout(timer);
		if (result.kind === exchangeKinds.answered) {
			if (!isBuffered(result.body)) {
				exchange.cancel();
			}

			// The response to a request, written once more; the one to this question is still to come.
			if (protocol.readServerResponse(result.status, result.rawHeaders).requestId) {
				discardConnections();
				return unknownHealth;
			}

			return protocol.readServerHealth(result.status, result.rawHeaders);
		}

		const isLocalDelay = now() - sentAt > timeoutMilliseconds + lateTimerMilliseconds;
		return isLocalDelay ? unknownHealth : undefined;
	}

	return {
		start,
		probe,
		discardConnections,
		close() {
			pooled.destroy();
			unpooled.destroy();
		},
	};
}

/** Ends the receipt of a body that is not passed on. */
function discardBody(body: Body): void {
	if (!isBuffered(body)) {
		body.destroy();
	}
}

function createKeepAliveAgent(options: ServerClientOptions): Agent {
	return new Agent({
		keepAlive: true,
		maxSockets: options.maximumConnections,
		timeout: idleConnectionMilliseconds,
	});
}
