/**
 * Sends attempts to the gates of other nodes over kept connections. A gate says at once that it
 * has an attempt; when that word does not come, the connection may have gone silent, and the gate
 * is asked by datagram to cancel what it may have. A gate that answers that the server has the
 * request lives, and its answer is awaited until the latency target before it counts as lost.
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

/** Kept connections without a request are closed after this time, in milliseconds. */
const idleConnectionMilliseconds = 8000;
const connectTimeoutMilliseconds = 300;
/** A gate says that it has an attempt within this time and a round trip, in milliseconds. */
const acknowledgementTimeoutMilliseconds = 250;
/** Time for a gate's answer to a cancellation, besides a round trip, in milliseconds. */
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
		const noteAcknowledgement = (): void => {
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
			onProcessing: noteAcknowledgement,
		});
		const received = exchange.result.then(result => {
			noteAcknowledgement();
			return readPeerResult(result);
		});
		const silent = new Promise<AttemptResult>(resolve => {
			const giveUp = (result: AttemptResult): void => {
				exchange.cancel();
				resolve(result);
			};

			const ask = async (): Promise<void> => {
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
				// The receipt may have come while the gate was asked; then its answer follows.
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
					void ask();
				},
				acknowledgementTimeoutMilliseconds + 2 * roundTripMilliseconds,
			);
		});
		return {result: Promise.race([received, silent]), cancel: exchange.cancel};
	}

	/** Asks the gate to cancel what it may have; undefined when it does not answer. */
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
		const neverDispatched = await options.socket.requestCancellation(
			gate,
			attempt.id,
			timeout,
		);
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
 * Judges a gate's word on an attempt that it gave no receipt for.
 *
 * @param neverDispatched whether it was withdrawn unrun; undefined when no word came
 * @param attempt the attempt
 * @param now monotonic time in milliseconds
 * @returns what the attempt comes to, and how long its answer is awaited before; no result when it
 *   is awaited to the end, as for work that may run and must not be repeated
 */
export function resolveUnacknowledged(
	neverDispatched: boolean | undefined,
	{call}: RelayAttempt,
	now: number,
): {readonly result: AttemptResult | undefined; readonly waitMilliseconds: number} {
	if (neverDispatched) {
		const refusal = createRefusal(
			refusalKinds.noServer,
			'the gate did not get the attempt',
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
		message: 'the gate gave no receipt',
	};
	const isAtServer = neverDispatched === false;
	return {result, waitMilliseconds: isAtServer ? Math.max(0, call.targetAt - now) : 0};
}
