/**
 * One request at the server beside the node. It owns the kept connections to the server and
 * judges what comes back: an answer counts only if it is whole, sealed and of this very request;
 * only what the server declares, or a connection that was never made, proves that nothing ran.
 */
import {Agent} from 'node:http';
import {
	attemptResultKinds,
	copyEndToEndHeaders,
	createRefusal,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type RefusalKind,
} from '../call/index.js';
import {
	exchangeKinds,
	startExchange,
	type ExchangeAnswered,
	type ExchangeResult,
} from '../http/index.js';
import type {RelayCall} from './call.js';
import type {
	PlatformProtocol,
	ServerResponseMetadata,
	ServerHealth,
} from './platform-protocol.js';

/** Answers up to this size are held until they are whole, in bytes. */
export const maximumBufferedResponseBytes = 1_048_576;
/** The server stands on the same VM, where a connection takes about a millisecond. */
const connectTimeoutMilliseconds = 500;
/** Kept connections are closed well before a server closes them, in milliseconds. */
const idleConnectionMilliseconds = 4000;
/** How long after a stray answer or a lost one kept connections are not trusted. */
const keptDistrustMilliseconds = 10_000;
/** Tries on kept connections that turn out unusable before anything is sent. */
const maximumConnectionAttempts = 3;
const firstFailureStatus = 500;
/** The health path answers at once, in about a millisecond. */
const probeTimeoutMilliseconds = 40;
/** A second question goes out on a new connection, and is given more time. */
const secondProbeTimeoutMilliseconds = 150;
/** Timers that fire later than this tell of this process's own slowness. */
const lateTimerMilliseconds = 30;

const emptyBody = new Uint8Array(0);
const unknownHealth: ServerHealth = {
	isHealthy: false,
	serverId: undefined,
	slots: undefined,
	slowdown: undefined,
};

/** How the server ended a request. */
export const serverResultKinds = {
	answered: 'answered',
	/** It answered with a failure of its own. */
	failed: 'failed',
	/** It declared that it did not run the request. */
	shed: 'shed',
	/** It takes no connection. */
	unreachable: 'unreachable',
	/** The connection broke, or what came is not the answer to this request. */
	lost: 'lost',
} as const;

export type ServerResultKind = (typeof serverResultKinds)[keyof typeof serverResultKinds];

/** What became of a request at the server. */
export type ServerResult = {
	readonly kind: ServerResultKind;
	readonly result: AttemptResult;
	/** What the answer says of the server; undefined without one. */
	readonly metadata: ServerResponseMetadata | undefined;
	/** What was seen, for the log. */
	readonly reason: string;
};

/** The server, as the gate knows it. */
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
	/** Asks the server's health path; undefined when it does not answer in time. */
	readonly probe: (
		target: ServerTarget,
		path: string,
	) => Promise<ServerHealth | undefined>;
	/** Kept connections belong to a life of the server that has ended. */
	readonly discardConnections: () => void;
	readonly close: () => void;
};

export type ServerClientOptions = {
	readonly protocol: PlatformProtocol;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Connections that the server accepts at most. */
	readonly maximumConnections: number;
};

/**
 * Creates the client of the server beside the node.
 *
 * @param options the server's language, its bound on connections and the clock
 * @returns the client
 */
export function createServerClient(options: ServerClientOptions): ServerClient {
	const {protocol: dialect, now} = options;
	const singleUseAgent = new Agent({
		keepAlive: false,
		maxSockets: options.maximumConnections,
	});
	let keepAliveAgent = createKeepAliveAgent(options);
	let distrustKeptUntil = Number.NEGATIVE_INFINITY;

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
				if (result.kind !== exchangeKinds.unsent || !isStale(result.message)) {
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
		const isDistrusted = now() < distrustKeptUntil;
		const head = {
			serverId: target.id,
			originService: call.originService,
			remainingMilliseconds: Math.max(1, Math.floor(call.deadlineAt - now())),
		};
		return startExchange({
			agent: isDistrusted && !call.idempotent ? singleUseAgent : keepAliveAgent,
			host: target.host,
			port: target.port,
			method: call.method,
			path: call.path,
			headers: dialect.buildServerHeaders(call.headers, head),
			body: call.body,
			awaitContinue: false,
			connectTimeoutMilliseconds,
			bufferLimitBytes: maximumBufferedResponseBytes,
		});
	}

	function classifyResult(result: ExchangeResult, call: RelayCall): ServerResult {
		if (result.kind === exchangeKinds.answered) {
			const facts = dialect.readServerResponse(result.status, result.rawHeaders);
			const fault = findResponseFault(result, facts, call);
			if (fault !== undefined) {
				distrustKeptConnections();
			}

			return fault === undefined
				? classifyResponse(result, facts)
				: {
						kind: serverResultKinds.lost,
						result: createLostResult(fault),
						metadata: facts,
						reason: fault,
					};
		}

		const reason = result.message;
		if (result.kind === exchangeKinds.unsent) {
			const text = `the server takes no connection (${reason}): try again shortly`;
			return {
				kind: serverResultKinds.unreachable,
				result: createNotRunResult(refusalKinds.noServer, text),
				metadata: undefined,
				reason,
			};
		}

		distrustKeptConnections();
		return {
			kind: serverResultKinds.lost,
			result: createLostResult(reason),
			metadata: undefined,
			reason,
		};
	}

	function distrustKeptConnections(): void {
		distrustKeptUntil = now() + keptDistrustMilliseconds;
	}

	async function probe(
		target: ServerTarget,
		path: string,
	): Promise<ServerHealth | undefined> {
		const health = await requestHealth(
			keepAliveAgent,
			target,
			path,
			probeTimeoutMilliseconds,
		);
		return (
			health ??
			requestHealth(singleUseAgent, target, path, secondProbeTimeoutMilliseconds)
		);
	}

	async function requestHealth(
		agent: Agent,
		target: ServerTarget,
		path: string,
		timeoutMilliseconds: number,
	): Promise<ServerHealth | undefined> {
		const askedAt = now();
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
			bufferLimitBytes: maximumBufferedResponseBytes,
		});
		const timer = setTimeout(exchange.cancel, timeoutMilliseconds);
		const result = await exchange.result;
		clearTimeout(timer);
		if (result.kind === exchangeKinds.answered) {
			return dialect.readServerHealth(result.status, result.rawHeaders);
		}

		const isOwnSlowness = now() - askedAt > timeoutMilliseconds + lateTimerMilliseconds;
		return isOwnSlowness ? unknownHealth : undefined;
	}

	return {
		start,
		probe,
		discardConnections() {
			const previous = keepAliveAgent;
			keepAliveAgent = createKeepAliveAgent(options);
			// What still runs on the old connections ends there; none is used again.
			previous.maxFreeSockets = 0;
			for (const socket of Object.values(previous.freeSockets).flat()) {
				socket?.destroy();
			}
		},
		close() {
			keepAliveAgent.destroy();
			singleUseAgent.destroy();
		},
	};
}

function createKeepAliveAgent(options: ServerClientOptions): Agent {
	return new Agent({
		keepAlive: true,
		maxSockets: options.maximumConnections,
		timeout: idleConnectionMilliseconds,
	});
}

function isStale(message: string): boolean {
	return message.includes('kept connection');
}

/** Finds why an answer cannot be passed on as the answer to this request. */
function findResponseFault(
	answer: ExchangeAnswered,
	facts: ServerResponseMetadata,
	call: RelayCall,
): string | undefined {
	if (facts.declaredNotRun || facts.isOtherServer) {
		return undefined;
	}

	if (facts.requestId !== undefined && facts.requestId !== call.requestId) {
		return 'the server answered another request';
	}

	const isSuccess = answer.status >= 200 && answer.status < 300;
	return isSuccess && !facts.sealed ? 'a success without the seal' : undefined;
}

function classifyResponse(
	answer: ExchangeAnswered,
	facts: ServerResponseMetadata,
): ServerResult {
	if (facts.isOtherServer) {
		const reason = 'another server has the address';
		const result = createNotRunResult(
			refusalKinds.noServer,
			`${reason}: try again shortly`,
		);
		return {kind: serverResultKinds.unreachable, result, metadata: facts, reason};
	}

	if (facts.declaredNotRun) {
		const reason = `the server shed the request with status ${answer.status}`;
		const result = createNotRunResult(
			refusalKinds.serverFailed,
			`${reason}: try again shortly`,
		);
		return {kind: serverResultKinds.shed, result, metadata: facts, reason};
	}

	const hasFailed = answer.status >= firstFailureStatus;
	return {
		kind: hasFailed ? serverResultKinds.failed : serverResultKinds.answered,
		result: {
			kind: attemptResultKinds.answered,
			status: answer.status,
			headers: copyEndToEndHeaders(answer.rawHeaders),
			body: answer.body,
			isCloseDelimited: answer.isCloseDelimited,
			load: undefined,
		},
		metadata: facts,
		reason: `status ${answer.status}`,
	};
}

function createNotRunResult(kind: RefusalKind, message: string): AttemptResult {
	return {
		kind: attemptResultKinds.refused,
		refusal: createRefusal(kind, message),
		outcome: outcomes.notRun,
		load: undefined,
	};
}

function createLostResult(message: string): AttemptResult {
	return {kind: attemptResultKinds.lost, message};
}
