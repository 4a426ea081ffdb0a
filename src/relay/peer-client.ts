/**
 * Sends attempts to the gates of other nodes over keep-alive connections. A gate acknowledges an
 * attempt at once. Without an acknowledgement the connection may be dead, and the gate is asked by
 * datagram to cancel the attempt unless it has arrived. If it has, the gate is alive but slow, the
 * attempt keeps its place there, and it counts as lost only once its latency target has passed. A gate
 * whose connection broke is asked to cancel it in any case, since an attempt that waited there has not run.
 *
 * Load pattern: connections that are reset, and gates that are cut off or slow, while requests wait at them.
 */
import {Agent} from 'node:http';
import {
	attemptResultKinds,
	createRefusal,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type RunningAttempt,
} from '../call/index.js';
import {exchangeKinds, readPeerResult, startExchange} from '../http/index.js';
import type {Logger} from '../log/index.js';
import type {Member} from '../membership/index.js';
import type {RelayAttempt} from './call.js';
import type {GateSocket} from './gate-socket.js';
import {buildPeerHeaders, isResponseTo} from './peer-headers.js';
import {maximumBufferedResponseBytes} from './server-exchange.js';

export type PeerClientOptions = {
	readonly socket: Pick<GateSocket, 'requestCancellation'>;
	readonly log: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

export type PeerClient = {
	readonly send: (
		member: Member,
		attempt: RelayAttempt,
		roundTripMilliseconds: number,
	) => RunningAttempt;
	readonly close: () => void;
};

type CancellationRequest = {
	/** Whether an attempt that has arrived and waits is left alone. */
	readonly keepWaiting: boolean;
	readonly roundTripMilliseconds: number;
};

/** Idle keep-alive connections are closed after this time. */
const idleConnectionMilliseconds = 8000;
const connectTimeoutMilliseconds = 300;
/** Time for a gate to acknowledge an attempt, besides the round trips. */
const acknowledgementTimeoutMilliseconds = 250;
/** Time for a gate to answer a cancellation, besides the round trips. */
const cancellationTimeoutMilliseconds = 40;

/**
 * Creates the client of other nodes' gates.
 *
 * @param options the socket for cancellations, log and clock
 * @returns the client
 */
export function createPeerClient(options: PeerClientOptions): PeerClient {
	const {now, log} = options;
	const agent = new Agent({keepAlive: true, timeout: idleConnectionMilliseconds});

	function send(
		member: Member,
		attempt: RelayAttempt,
		roundTripMilliseconds: number,
	): RunningAttempt {
		const watch: {timer?: NodeJS.Timeout; isAcknowledged: boolean} = {
			isAcknowledged: false,
		};
		const acknowledge = (): void => {
			watch.isAcknowledged = true;
			clearTimeout(watch.timer);
		};

		const exchange = startExchange({
			agent,
			host: member.host,
			port: member.peerPort,
			method: attempt.call.method,
			path: attempt.call.path,
			headers: buildPeerHeaders(attempt, now()),
			body: attempt.call.body,
			awaitContinue: false,
			connectTimeoutMilliseconds: connectTimeoutMilliseconds + roundTripMilliseconds,
			bufferLimitBytes: maximumBufferedResponseBytes,
			onProcessing: acknowledge,
		});
		let isCancelled = false;
		const cancel = (): void => {
			isCancelled = true;
			exchange.cancel();
		};

		const response = exchange.result.then(async result => {
			acknowledge();
			if (
				result.kind === exchangeKinds.answered &&
				!isResponseTo(result.rawHeaders, attempt.id)
			) {
				return createForeignResult();
			}

			if (result.kind !== exchangeKinds.lost || isCancelled) {
				return readPeerResult(result);
			}

			const neverDispatched = await requestCancellation(member, attempt, {
				keepWaiting: false,
				roundTripMilliseconds,
			});
			logCancellation('connection to gate lost', member, attempt, neverDispatched);
			return neverDispatched ? createNotReceivedResult() : readPeerResult(result);
		});
		const unacknowledged = new Promise<AttemptResult>(resolve => {
			const giveUp = (result: AttemptResult): void => {
				cancel();
				resolve(result);
			};

			const cancelAttempt = async (): Promise<void> => {
				const neverDispatched = await requestCancellation(member, attempt, {
					keepWaiting: true,
					roundTripMilliseconds,
				});
				logCancellation('gate gave no receipt', member, attempt, neverDispatched);
				const {result, waitMilliseconds} = resolveUnacknowledged(
					neverDispatched,
					attempt,
					now(),
				);
				// If the acknowledgement came meanwhile, the response follows.
				if (watch.isAcknowledged) {
					return;
				}

				if (result && waitMilliseconds > 0) {
					watch.timer = setTimeout(giveUp, waitMilliseconds, result);
				} else if (result) {
					giveUp(result);
				}
			};

			watch.timer = setTimeout(
				() => {
					void cancelAttempt();
				},
				acknowledgementTimeoutMilliseconds + 2 * roundTripMilliseconds,
			);
		});
		return {
			result: Promise.race([response, unacknowledged]),
			cancel,
			async withdraw() {
				const neverDispatched = await requestCancellation(member, attempt, {
					keepWaiting: false,
					roundTripMilliseconds,
				});
				return neverDispatched ?? false;
			},
		};
	}

	/** Asks the gate to cancel the attempt; undefined if it does not answer. */
	async function requestCancellation(
		member: Member,
		attempt: RelayAttempt,
		{keepWaiting, roundTripMilliseconds}: CancellationRequest,
	): Promise<boolean | undefined> {
		const gate = {
			host: member.host,
			port: member.peerPort,
			incarnation: member.incarnation,
		};
		const timeout = cancellationTimeoutMilliseconds + 2 * roundTripMilliseconds;
		return options.socket.requestCancellation(gate, attempt.id, {
			keepWaiting,
			timeoutMilliseconds: timeout,
		});
	}

	function logCancellation(
		message: string,
		{nodeId}: Member,
		{call}: RelayAttempt,
		neverDispatched: boolean | undefined,
	): void {
		log.warn(message, {request: call.requestId, gate: nodeId, neverDispatched});
	}

	return {
		send,
		close() {
			agent.destroy();
		},
	};
}

/**
 * Decides the result of an attempt that its gate did not acknowledge.
 *
 * @param neverDispatched the gate's answer to the cancellation; undefined if it did not answer
 * @param attempt the attempt
 * @param now monotonic time in milliseconds
 * @returns the result, and how long to wait for a response first; no result if the response is
 *   awaited until the deadline, since the request may run and must not be retried
 */
export function resolveUnacknowledged(
	neverDispatched: boolean | undefined,
	{call}: RelayAttempt,
	now: number,
): {readonly result: AttemptResult | undefined; readonly waitMilliseconds: number} {
	if (neverDispatched) {
		return {result: createNotReceivedResult(), waitMilliseconds: 0};
	}

	if (!call.idempotent) {
		return {result: undefined, waitMilliseconds: 0};
	}

	const result: AttemptResult = {
		kind: attemptResultKinds.lost,
		message: 'the gate did not acknowledge the attempt',
	};
	const hasArrived = neverDispatched === false;
	return {result, waitMilliseconds: hasArrived ? Math.max(0, call.targetAt - now) : 0};
}

/** The result of an attempt of which its gate states that it was never dispatched. */
function createNotReceivedResult(): AttemptResult {
	return {
		kind: attemptResultKinds.refused,
		refusal: createRefusal(refusalKinds.noServer, 'the gate did not receive the attempt'),
		outcome: outcomes.notRun,
		load: undefined,
	};
}

function createForeignResult(): AttemptResult {
	return {
		kind: attemptResultKinds.lost,
		message: 'the node responded to another attempt',
	};
}
