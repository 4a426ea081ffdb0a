/**
 * UDP datagrams between nodes: load queries, cancellations of attempts, and requests for a team's
 * allowance. Owns the socket and the pending queries. Datagrams may be lost, so every query has a timeout.
 */
import {createSocket} from 'node:dgram';
import type {AttemptId} from '../call/index.js';
import {
	GateDatagram,
	type AllowanceGrant,
	type AllowanceRequest,
} from '../generated/gate.js';
import type {GateReport} from '../placing/index.js';
import type {LoadQuestion} from './gate-types.js';

/** Where a gate listens for datagrams. */
export type GateAddress = {readonly host: string; readonly port: number};

export type GateSocketOptions = {
	readonly address: GateAddress;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Answers load queries for this node's gate. */
	readonly report: (question: LoadQuestion) => Promise<GateReport>;
	readonly cancelAttempt: (id: AttemptId, keepWaiting: boolean) => boolean;
	/** Grants other nodes their parts of a team's allowance. */
	readonly grantAllowance: (request: AllowanceRequest) => AllowanceGrant;
	/** Incarnation of this node. */
	readonly incarnation: number;
	/** Spends from the measuring budget; false if the datagram must not be sent. */
	readonly trySpend: (use: 'probe' | 'probeReply', bytes: number) => boolean;
	readonly onError: (error: Error) => void;
};

/** A gate's report and the round trip of the query. */
export type TimedGateReport = GateReport & {readonly roundTripMilliseconds: number};

export type GateSocket = {
	/**
	 * Asks a gate to estimate wait and duration of a request; undefined on a timeout. An answer
	 * that comes later is passed to `onLateAnswer`.
	 */
	readonly queryLoad: (
		gate: GateAddress,
		question: LoadQuestion,
		timeoutMilliseconds: number,
		onLateAnswer?: (report: TimedGateReport) => void,
	) => Promise<TimedGateReport | undefined>;
	/**
	 * Asks a gate to cancel an attempt, unless it waits and is to be kept; true if it never was and
	 * never will be dispatched, undefined on a timeout.
	 */
	readonly requestCancellation: (
		gate: GateAddress & {readonly incarnation: number},
		id: AttemptId,
		options: CancellationOptions,
	) => Promise<boolean | undefined>;
	/** Asks the allocator of a team for tokens; undefined on a timeout. */
	readonly requestAllowance: (
		allocator: GateAddress,
		request: AllowanceRequest,
		timeoutMilliseconds: number,
	) => Promise<AllowanceGrant | undefined>;
	readonly close: () => void;
};

export type CancellationOptions = {
	/** Whether an attempt that has arrived and waits is left alone. */
	readonly keepWaiting: boolean;
	readonly timeoutMilliseconds: number;
};

type PendingQuery = {
	readonly resolve: (datagram: GateDatagram | undefined) => void;
	/** Receives an answer that comes after the timeout. */
	readonly onLateAnswer: ((datagram: GateDatagram) => void) | undefined;
	timer: NodeJS.Timeout;
	isLate: boolean;
};

type Body = NonNullable<GateDatagram['body']>;

/** Headers of UDP and IP, in bytes. */
const datagramOverheadBytes = 28;
/** After its timeout an answer still shows the round trip for this long. */
const lateAnswerMilliseconds = 1000;
const percent = 100;
const maximumUint32 = 0xff_ff_ff_ff;

/**
 * Opens the socket.
 *
 * @param options its address, and the functions that answer the queries of other nodes
 * @returns the socket, once it is bound
 */
export async function openGateSocket(options: GateSocketOptions): Promise<GateSocket> {
	const socket = createSocket('udp4');
	const pending = new Map<number, PendingQuery>();
	let sequence = 0;

	function send(gate: GateAddress, bytes: Uint8Array): void {
		// A datagram that cannot be sent counts as lost; its query times out.
		socket.send(bytes, gate.port, gate.host, error => {
			if (error) {
				options.onError(error);
			}
		});
	}

	async function sendQuery(
		gate: GateAddress,
		body: Body,
		timeoutMilliseconds: number,
		onLateAnswer?: (datagram: GateDatagram) => void,
	) {
		sequence = (sequence + 1) % maximumUint32;
		const query = GateDatagram.encode({sequence, body}).finish();
		return new Promise<GateDatagram | undefined>(resolve => {
			const number = sequence;
			const timer = setTimeout(() => {
				expire(number);
			}, timeoutMilliseconds);
			pending.set(number, {resolve, onLateAnswer, timer, isLate: false});
			send(gate, query);
		});
	}

	/** Ends the wait for an answer; one that is awaited for its round trip is kept for a while. */
	function expire(number: number): void {
		const query = pending.get(number);
		if (query === undefined) {
			return;
		}

		if (query.onLateAnswer === undefined || query.isLate) {
			pending.delete(number);
		} else {
			query.isLate = true;
			query.timer = setTimeout(() => {
				expire(number);
			}, lateAnswerMilliseconds).unref();
		}

		query.resolve(undefined);
	}

	function receive(bytes: Uint8Array, from: GateAddress): void {
		const datagram = decode(bytes);
		const body = datagram?.body;
		if (datagram === undefined || body === undefined) {
			return;
		}

		const pendingAnswer = answerQuery(body, options);
		if (pendingAnswer === undefined) {
			settle(datagram);
			return;
		}

		void pendingAnswer.then(answer => {
			reply(datagram.sequence, answer, from);
		});
	}

	function reply(number: number, body: Body, to: GateAddress): void {
		const bytes = GateDatagram.encode({sequence: number, body}).finish();
		const isFree = body.$case !== 'loadAnswer';
		if (isFree || options.trySpend('probeReply', bytes.length + datagramOverheadBytes)) {
			send(to, bytes);
		}
	}

	function settle(datagram: GateDatagram): void {
		const query = pending.get(datagram.sequence);
		if (query) {
			pending.delete(datagram.sequence);
			clearTimeout(query.timer);
			if (query.isLate) {
				query.onLateAnswer?.(datagram);
			}

			query.resolve(datagram);
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
		async queryLoad(gate, question, timeoutMilliseconds, onLateAnswer) {
			if (!options.trySpend('probe', question.route.length + datagramOverheadBytes)) {
				return undefined;
			}

			const sentAt = options.now();
			const loadQuestion = {
				...question,
				rank: toUint32(Math.floor(question.rank)),
				targetMilliseconds: toUint32(question.targetMilliseconds),
				bodyBytes: toUint32(question.bodyBytes),
			};
			const body: Body = {$case: 'loadQuestion', value: loadQuestion};
			const readReport = (
				answer: GateDatagram | undefined,
			): TimedGateReport | undefined => readLoadAnswer(answer, options.now() - sentAt);
			const answer = await sendQuery(gate, body, timeoutMilliseconds, late => {
				const report = readReport(late);
				if (report) {
					onLateAnswer?.(report);
				}
			});
			return readReport(answer);
		},
		async requestCancellation(gate, id, {keepWaiting, timeoutMilliseconds}) {
			const cancelQuestion = {...id, incarnation: gate.incarnation, keepWaiting};
			const body: Body = {$case: 'cancelQuestion', value: cancelQuestion};
			const answer = await sendQuery(gate, body, timeoutMilliseconds);
			return answer?.body?.$case === 'cancelAnswer'
				? answer.body.value.neverDispatched
				: undefined;
		},
		async requestAllowance(allocator, request, timeoutMilliseconds) {
			const body: Body = {$case: 'allowanceRequest', value: request};
			const answer = await sendQuery(allocator, body, timeoutMilliseconds);
			return answer?.body?.$case === 'allowanceGrant' ? answer.body.value : undefined;
		},
		close() {
			for (const {timer, resolve} of pending.values()) {
				clearTimeout(timer);
				resolve(undefined);
			}

			socket.close();
		},
	};
}

function readLoadAnswer(
	answer: GateDatagram | undefined,
	roundTripMilliseconds: number,
): TimedGateReport | undefined {
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
		roundTripMilliseconds,
	};
}

/** Ignores malformed datagrams; the query that they belong to times out. */
function decode(bytes: Uint8Array): GateDatagram | undefined {
	try {
		return GateDatagram.decode(bytes);
	} catch {
		return undefined;
	}
}

/** Answers a query; undefined if the datagram is the answer to one of this node's own. */
function answerQuery(body: Body, options: GateSocketOptions): Promise<Body> | undefined {
	if (body.$case === 'loadQuestion') {
		return answerLoad(body.value, options);
	}

	if (body.$case === 'cancelQuestion') {
		const {ingress, sequence, incarnation, keepWaiting} = body.value;
		// Another incarnation of this node knows nothing of the attempt, so it proves nothing.
		const neverDispatched =
			incarnation === options.incarnation &&
			options.cancelAttempt({ingress, sequence}, keepWaiting);
		return Promise.resolve({$case: 'cancelAnswer', value: {neverDispatched}});
	}

	if (body.$case === 'allowanceRequest') {
		const value = options.grantAllowance(body.value);
		return Promise.resolve({$case: 'allowanceGrant', value});
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

/** An estimate that is no number counts as the longest, since it cannot be relied on. */
function toUint32(value: number): number {
	if (Number.isNaN(value)) {
		return maximumUint32;
	}

	return Math.min(maximumUint32, Math.max(0, Math.round(value)));
}
