/**
 * Sends attempts to the gates of other nodes over keep-alive connections. A gate acknowledges an
 * attempt at once. Without an acknowledgement the connection may be dead, and the gate is asked by
 * datagram to cancel the attempt unless it has arrived. If it has, the gate is alive but slow, the
 * attempt keeps its place there, and it counts as lost only once its latency target has passed.
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
import {readPeerResult, startExchange} from '../http/index.js';
import type {Logger} from '../log/index.js';
import type {Member} from '../membership/index.js';
import type {RelayAttempt} from './call.js';
import type {GateSocket} from './gate-socket.js';
import {buildPeerHeaders} from './peer-headers.js';
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
		const response = exchange.result.then(result => {
			acknowledge();
			return readPeerResult(result);
		});
		const unacknowledged = new Promise<AttemptResult>(resolve => {
			const giveUp = (result: AttemptResult): void => {
				exchange.cancel();
				resolve(result);
			};

			const cancelAttempt = async (): Promise<void> => {
				const neverDispatched = await requestCancellation(
					member,
					attempt,
					roundTripMilliseconds,
				);
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
		return {result: Promise.race([response, unacknowledged]), cancel: exchange.cancel};
	}

	/** Asks the gate to cancel the attempt; undefined if it does not answer. */
	async function requestCancellation(
		member: Member,
		attempt: RelayAttempt,
		roundTripMilliseconds: number,
	): Promise<boolean | undefined> {
		const gate = {
			host: member.host,
			port: member.peerPort,
			incarnation: member.incarnation,
		};
		const timeout = cancellationTimeoutMilliseconds + 2 * roundTripMilliseconds;
		const neverDispatched = await options.socket.requestCancellation(gate, attempt.id, {
			keepWaiting: true,
			timeoutMilliseconds: timeout,
		});
		log.warn('gate gave no receipt', {
			request: attempt.call.requestId,
			gate: member.nodeId,
			neverDispatched,
		});
		return neverDispatched;
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
		const refusal = createRefusal(
			refusalKinds.noServer,
			'the gate did not receive the attempt',
		);
		const result: AttemptResult = {
			kind: attemptResultKinds.refused,
			refusal,
			outcome: outcomes.notRun,
			load: undefined,
		};
		return {result, waitMilliseconds: 0};
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
