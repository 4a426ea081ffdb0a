/**
 * The datagrams between ingresses and gates: what a request would meet at a gate, and whether an
 * attempt was handed over. It owns the UDP socket and the questions that wait for an answer. A
 * lost datagram is a missing answer; every question is bounded in time.
 */
import {createSocket} from 'node:dgram';
import type {AttemptId} from '../call/index.js';
import {GateDatagram} from '../generated/gate.js';
import type {GateReport} from '../placing/index.js';
import type {LoadQuestion} from './gate-types.js';

/** Where a gate listens for datagrams. */
export type GateAddress = {readonly host: string; readonly port: number};

export type GateSocketOptions = {
	readonly address: GateAddress;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Answers for the gate of this node. */
	readonly report: (question: LoadQuestion) => Promise<GateReport>;
	readonly cancelAttempt: (id: AttemptId) => boolean;
	/** Number of this life of the node. */
	readonly incarnation: number;
	/** Spends from the measuring budget; false when a datagram must not be sent. */
	readonly trySpend: (use: 'probe' | 'probeReply', bytes: number) => boolean;
	readonly onError: (error: Error) => void;
};

/** A gate's report, and how long the question took. */
export type TimedGateReport = GateReport & {readonly roundTripMilliseconds: number};

export type GateSocket = {
	/** Asks what a request would meet at a gate; undefined when no answer comes in time. */
	readonly queryLoad: (
		gate: GateAddress,
		question: LoadQuestion,
		timeoutMilliseconds: number,
	) => Promise<TimedGateReport | undefined>;
	/** Asks a gate to cancel an attempt; undefined when no answer comes in time. */
	readonly requestCancellation: (
		gate: GateAddress & {readonly incarnation: number},
		id: AttemptId,
		timeoutMilliseconds: number,
	) => Promise<boolean | undefined>;
	readonly close: () => void;
};

type PendingRequest = {
	readonly resolve: (datagram: GateDatagram | undefined) => void;
	readonly timer: NodeJS.Timeout;
};

type Body = NonNullable<GateDatagram['body']>;

/** Headers of UDP and IP, in bytes. */
const datagramOverheadBytes = 28;
const percent = 100;
const maximumUint32 = 0xff_ff_ff_ff;

/**
 * Opens the socket.
 *
 * @param options its address, and what answers others' questions
 * @returns the socket, once it is bound
 */
export async function openGateSocket(options: GateSocketOptions): Promise<GateSocket> {
	const socket = createSocket('udp4');
	const waiting = new Map<number, PendingRequest>();
	let sequence = 0;

	function send(gate: GateAddress, bytes: Uint8Array): void {
		// A datagram that cannot be sent is a lost one, which the timeout of its question shows.
		socket.send(bytes, gate.port, gate.host, error => {
			if (error) {
				options.onError(error);
			}
		});
	}

	async function ask(gate: GateAddress, body: Body, timeoutMilliseconds: number) {
		sequence = (sequence + 1) % maximumUint32;
		const question = GateDatagram.encode({sequence, body}).finish();
		return new Promise<GateDatagram | undefined>(resolve => {
			const number = sequence;
			const timer = setTimeout(() => {
				waiting.delete(number);
				resolve(undefined);
			}, timeoutMilliseconds);
			waiting.set(number, {resolve, timer});
			send(gate, question);
		});
	}

	function receive(bytes: Uint8Array, from: GateAddress): void {
		const datagram = decode(bytes);
		const body = datagram?.body;
		if (datagram === undefined || body === undefined) {
			return;
		}

		const answering = answerQuestion(body, options);
		if (answering === undefined) {
			settle(datagram);
			return;
		}

		void answering.then(answer => {
			reply(datagram.sequence, answer, from);
		});
	}

	function reply(number: number, body: Body, to: GateAddress): void {
		const bytes = GateDatagram.encode({sequence: number, body}).finish();
		const isFree = body.$case === 'cancelAnswer';
		if (isFree || options.trySpend('probeReply', bytes.length + datagramOverheadBytes)) {
			send(to, bytes);
		}
	}

	function settle(datagram: GateDatagram): void {
		const question = waiting.get(datagram.sequence);
		if (question) {
			waiting.delete(datagram.sequence);
			clearTimeout(question.timer);
			question.resolve(datagram);
		}
	}

	socket.on('message', (bytes, {address, port}) => {
		receive(bytes, {host: address, port});
	});
	socket.on('error', options.onError);
	await new Promise<void>((resolve, reject) => {
		socket.once('error', reject);
		socket.bind(options.address.port, options.address.host, () => {
			socket.removeListener('error', reject);
			resolve();
		});
	});

	return {
		async queryLoad(gate, question, timeoutMilliseconds) {
			if (!options.trySpend('probe', question.route.length + datagramOverheadBytes)) {
				return undefined;
			}

			const askedAt = options.now();
			const loadQuestion = {...question, rank: Math.max(0, Math.floor(question.rank))};
			const body: Body = {$case: 'loadQuestion', value: loadQuestion};
			const answer = await ask(gate, body, timeoutMilliseconds);
			if (answer?.body?.$case !== 'loadAnswer') {
				return undefined;
			}

			const {accepting, waitMilliseconds, durationMilliseconds, failurePercent} =
				answer.body.value;
			return {
				accepting,
				waitMilliseconds,
				durationMilliseconds,
				failureShare: failurePercent / percent,
				roundTripMilliseconds: options.now() - askedAt,
			};
		},
		async requestCancellation(gate, id, timeoutMilliseconds) {
			const cancelQuestion = {...id, incarnation: gate.incarnation};
			const body: Body = {$case: 'cancelQuestion', value: cancelQuestion};
			const answer = await ask(gate, body, timeoutMilliseconds);
			return answer?.body?.$case === 'cancelAnswer'
				? answer.body.value.neverDispatched
				: undefined;
		},
		close() {
			for (const {timer, resolve} of waiting.values()) {
				clearTimeout(timer);
				resolve(undefined);
			}

			socket.close();
		},
	};
}

/** Bytes that are no datagram of ours change nothing; the question's timeout shows their loss. */
function decode(bytes: Uint8Array): GateDatagram | undefined {
	try {
		return GateDatagram.decode(bytes);
	} catch {
		return undefined;
	}
}

/** Answers a question; an answer to one of this node's own is no question. */
function answerQuestion(
	body: Body,
	options: GateSocketOptions,
): Promise<Body> | undefined {
	if (body.$case === 'loadQuestion') {
		return answerLoad(body.value, options);
	}

	if (body.$case === 'cancelQuestion') {
		const {ingress, sequence, incarnation} = body.value;
		// Another life of this node knows nothing of the attempt and proves nothing.
		const neverDispatched =
			incarnation === options.incarnation && options.cancelAttempt({ingress, sequence});
		return Promise.resolve({$case: 'cancelAnswer', value: {neverDispatched}});
	}

	return undefined;
}

async function answerLoad(
	question: LoadQuestion,
	options: GateSocketOptions,
): Promise<Body> {
	const report = await options.report(question);
	const value = {
		accepting: report.accepting,
		waitMilliseconds: toUint32(report.waitMilliseconds),
		durationMilliseconds: toUint32(report.durationMilliseconds),
		failurePercent: toUint32(report.failureShare * percent),
	};
	return {$case: 'loadAnswer', value};
}

function toUint32(value: number): number {
	return Math.min(maximumUint32, Math.max(0, Math.round(value)));
}
