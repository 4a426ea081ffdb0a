/**
 * The gate of the node's own server. Every call to that server passes here, whichever node it
 * came in by, so the gate's count of requests in flight is exact. The gate owns the connections
 * to the server; it refuses as `not-run` whatever it has not handed to the server.
 */
import {Agent} from 'node:http';
import type {Readable} from 'node:stream';
import {
	changeSlots,
	cancel as withdraw,
	changePolicy,
	createAdmission,
	expire,
	offer,
	offerKinds,
	release as releaseSlot,
	type GatePolicy,
	type RefusedRequest,
	type RequestEnd,
	type SlotAssignment,
} from '../admission/index.js';
import {
	admissionResults,
	admitAttempt,
	attemptResultKinds,
	cancelAttempt,
	createAttemptTable,
	createRefusal,
	dispatchAttempt,
	findHeader,
	formatAttemptId,
	finishAttempt,
	headerNames,
	isBuffered,
	outcomes,
	refusalKinds,
	type AdmissionResult,
	type AttemptId,
	type AttemptRequest,
	type AttemptResult,
	type CancellationResult,
	type Refusal,
	type RunningAttempt,
} from '../call/index.js';
import {encodeLoadReport} from '../routing/index.js';
import {
	exchangeKinds,
	startExchange,
	type ExchangeFailed,
	type ExchangeResult,
	type RunningExchange,
} from '../http/index.js';
import {createGateRefusal} from './gate-refusal.js';
import {
	createCrashResult,
	createNoLocalServerRefusal,
	createServerFailureResult,
	buildServerHeaders,
	readServerResponse,
} from './server-protocol.js';
import {isListening} from './server-probe.js';

/** The server beside the node, as it announced itself. */
export type LocalServer = {
	readonly name: string;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	/** Requests that it runs at once. */
	readonly slots: number;
};

/** The gate's counts, for the state dump and the load header. */
export type GateState = {
	readonly server: LocalServer | undefined;
	readonly leaving: boolean;
	readonly inFlight: number;
	readonly queued: number;
	readonly dispatched: number;
	readonly refused: number;
};

export type Gate = {
	/** Sets the server, or takes it away when its announcement lapsed. */
	readonly setServer: (server: LocalServer | undefined) => void;
	/** Refuses new work from now on, or takes it again. */
	readonly setDraining: (leaving: boolean) => void;
	/** Puts another preset in force; what waits keeps waiting. */
	readonly setPolicy: (policy: GatePolicy) => void;
	readonly run: (request: AttemptRequest) => RunningAttempt;
	/** Cancels an attempt for the ingress that lost contact, and says what is proven of it. */
	readonly cancelAttempt: (id: AttemptId) => CancellationResult;
	readonly state: () => GateState;
	/** Resolves once nothing is in flight or queued. */
	readonly drained: () => Promise<void>;
	readonly close: () => void;
};

type Entry = {
	/** Text of the attempt's id. */
	readonly id: string;
	readonly request: AttemptRequest;
	readonly settle: (result: AttemptResult) => void;
	exchange: RunningExchange | undefined;
	/** The server it was handed to. */
	target: LocalServer | undefined;
	/** Whether the gate itself broke the exchange off. */
	cancelled: boolean;
	/** Milliseconds of the monotonic clock; meaningless before the dispatch. */
	dispatchedAt: number;
};

type GateOptions = {
	/** What the gate goes by until another preset is put in force. */
	readonly policy: GatePolicy;
	/** Present time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	/** The server broke off and takes no connection any more. */
	readonly onServerGone: (server: LocalServer) => void;
};

const serverConnectionLimit = 200;
const idleConnectionMilliseconds = 4000;
const expiryIntervalMilliseconds = 5;

/**
 * Creates the gate.
 *
 * @param options clock
 * @returns the gate, without a server yet
 */
export function createGate(options: GateOptions): Gate {
	const {now} = options;
	const agent = new Agent({
		keepAlive: true,
		maxSockets: serverConnectionLimit,
		timeout: idleConnectionMilliseconds,
	});
	const admission = createAdmission(options.policy, 0);
	const waiting = new Map<string, Entry>();
	/** Attempts that must run alone: while there are any, the server gets one at a time. */
	const loners = new Set<string>();
	const attempts = createAttemptTable();
	const idleWaiters: Array<() => void> = [];
	let server: LocalServer | undefined;
	let leaving = false;
	let expiryTimer: NodeJS.Timeout | undefined;
	let dispatched = 0;
	let refused = 0;

	function refuse(entry: Entry, refusal: Refusal): void {
		refused += 1;
		finishAttempt(attempts, entry.request.id);
		dismissLoner(entry);
		entry.settle({
			kind: attemptResultKinds.refused,
			refusal,
			outcome: outcomes.notRun,
			load: formatLoad(),
		});
	}

	function formatLoad(): string {
		return encodeLoadReport({
			inFlight: admission.running.size,
			queued: waiting.size,
			serviceMilliseconds: admission.serviceMilliseconds,
			slots: server?.slots ?? 0,
		});
	}

	function dispatch(entry: Entry, target: LocalServer): void {
		dispatchAttempt(attempts, entry.request.id);
		dispatched += 1;
		entry.dispatchedAt = now();
		entry.target = target;
		entry.request.onDispatch?.();
		entry.exchange = startExchange({
			agent,
			host: target.host,
			port: target.port,
			method: entry.request.method,
			path: entry.request.path,
			headers: buildServerHeaders(entry.request, now()),
			body: entry.request.body,
			awaitContinue: false,
		});
		void entry.exchange.result.then(result => {
			settleExchange(entry, result);
		});
	}

	function settleExchange(entry: Entry, result: ExchangeResult): void {
		if (result.kind !== exchangeKinds.answered) {
			void settleFailure(entry, result);
			return;
		}

		const {body} = result;
		const shed = findHeader(result.rawHeaders, headerNames.outcome) === outcomes.notRun;
		if (isBuffered(body)) {
			release(entry, {shed, partial: !isBuffered(entry.request.body)});
		} else {
			releaseWhenClosed(entry, body);
		}

		entry.settle(readServerResponse(result, shed, formatLoad()));
	}

	/**
	 * A server that broke off and takes no connection any more has crashed. The slot is freed only
	 * once that is known: the next request would go to the dead server by a connection whose end
	 * has not been noticed yet, and be blamed for the crash.
	 */
	async function settleFailure(entry: Entry, result: ExchangeFailed): Promise<void> {
		const {target} = entry;
		const isSuspicious = result.kind === exchangeKinds.lost && !entry.cancelled;
		if (isSuspicious && target && !(await isListening(target.host, target.port))) {
			options.onServerGone(target);
			release(entry, {partial: true});
			entry.settle(createCrashResult(entry.request.suspect, formatLoad()));
			return;
		}

		release(entry, {partial: true});
		entry.settle(createServerFailureResult(result, formatLoad()));
	}

	/** Narrows the server to one request at a time until the suspect is through. */
	function callLoner(entry: Entry): void {
		if (entry.request.suspect) {
			loners.add(entry.id);
			applySlots();
		}
	}

	function dismissLoner(entry: Entry): void {
		if (loners.delete(entry.id) && loners.size === 0) {
			applySlots();
		}
	}

	function applySlots(): void {
		const slots = server?.slots ?? 0;
		const usable = loners.size > 0 ? Math.min(slots, 1) : slots;
		followTurn(changeSlots(admission, usable, now()));
	}

	function releaseWhenClosed(entry: Entry, body: Readable): void {
		body.once('close', () => {
			// How long a stream takes is up to its reader.
			release(entry, {partial: true});
		});
	}

	function release(entry: Entry, end: Omit<RequestEnd, 'serviceMilliseconds'>): void {
		finishAttempt(attempts, entry.request.id);
		const present = now();
		const serviceMilliseconds = present - entry.dispatchedAt;
		followTurn(releaseSlot(admission, entry.id, {...end, serviceMilliseconds}, present));
		dismissLoner(entry);
		wakeIdleWaiters();
	}

	function followTurn(turn: SlotAssignment): void {
		for (const id of turn.dispatch) {
			const entry = takeWaiting(id);
			if (entry && server) {
				dispatch(entry, server);
			}
		}

		refuseAll(turn.refused);
	}

	function refuseAll(refusals: readonly RefusedRequest[]): void {
		for (const {id, reason, retryAfterMilliseconds} of refusals) {
			const entry = takeWaiting(id);
			if (entry) {
				refuse(entry, createGateRefusal(reason, retryAfterMilliseconds));
			}
		}
	}

	/** What waits for a server that is gone may go to another node. */
	function refuseWaiting(): void {
		for (const entry of waiting.values()) {
			withdraw(admission, entry.id);
			refuse(entry, createNoLocalServerRefusal(entry.request.service));
		}

		waiting.clear();
		wakeIdleWaiters();
	}

	function takeWaiting(id: string): Entry | undefined {
		const entry = waiting.get(id);
		waiting.delete(id);
		return entry;
	}

	/** One timer for the whole queue, and none while it is empty. */
	function expireLater(): void {
		expiryTimer ??= setTimeout(() => {
			expiryTimer = undefined;
			refuseAll(expire(admission, now()));
			if (waiting.size > 0) {
				expireLater();
			}

			wakeIdleWaiters();
		}, expiryIntervalMilliseconds);
	}

	function wakeIdleWaiters(): void {
		if (admission.running.size > 0 || waiting.size > 0) {
			return;
		}

		for (const wake of idleWaiters.splice(0)) {
			wake();
		}
	}

	function admit(entry: Entry): void {
		const admission = admitAttempt(attempts, entry.request.id);
		if (admission !== admissionResults.admitted) {
			refuseUnknown(entry, admission);
			return;
		}

		if (leaving) {
			refuse(
				entry,
				createRefusal(refusalKinds.leaving, 'this server is leaving: use another node'),
			);
			return;
		}

		if (server?.service !== entry.request.service) {
			refuse(entry, createNoLocalServerRefusal(entry.request.service));
			return;
		}

		ask(entry, server);
	}

	function ask(entry: Entry, target: LocalServer): void {
		const {rank, caller, body, deadlineAt} = entry.request;
		callLoner(entry);
		const decision = offer(
			admission,
			{
				id: entry.id,
				rank,
				caller,
				// A large body is bounded by its progress, not by the deadline.
				deadlineAt: isBuffered(body) ? deadlineAt : Number.POSITIVE_INFINITY,
			},
			now(),
		);
		if (decision.kind === offerKinds.dispatch) {
			dispatch(entry, target);
			return;
		}

		if (decision.kind === offerKinds.refused) {
			refuse(entry, createGateRefusal(decision.reason, decision.retryAfterMilliseconds));
			return;
		}

		waiting.set(entry.id, entry);
		expireLater();
		if (decision.displaced !== undefined) {
			refuseAll([decision.displaced]);
		}
	}

	/** A second copy of an attempt is dropped without a word of its outcome: the first decides. */
	function refuseUnknown(entry: Entry, admission: AdmissionResult): void {
		refused += 1;
		entry.settle({
			kind: attemptResultKinds.refused,
			refusal: createRefusal(
				refusalKinds.cancelled,
				`the attempt was not admitted (${admission}): send the request again`,
			),
			outcome:
				admission === admissionResults.duplicate ? outcomes.unknown : outcomes.notRun,
			load: formatLoad(),
		});
	}

	function cancelById(id: AttemptId): CancellationResult {
		const cancellation = cancelAttempt(attempts, id);
		const entry = waiting.get(formatAttemptId(id));
		if (entry) {
			cancel(entry);
		}

		return cancellation;
	}

	function cancel(entry: Entry): void {
		if (entry.exchange) {
			entry.cancelled = true;
			entry.exchange.cancel();
			return;
		}

		if (!withdraw(admission, entry.id)) {
			return;
		}

		waiting.delete(entry.id);
		refuse(
			entry,
			createRefusal(refusalKinds.cancelled, 'the caller gave the request up'),
		);
		wakeIdleWaiters();
	}

	return {
		setServer(announced) {
			const isOther = announced?.service !== server?.service;
			server = announced;
			if (isOther) {
				refuseWaiting();
			}

			applySlots();
		},
		setPolicy(policy) {
			changePolicy(admission, policy);
		},
		setDraining(value) {
			leaving = value;
		},
		run(request) {
			let settle: (result: AttemptResult) => void;
			const result = new Promise<AttemptResult>(resolve => {
				settle = resolve;
			});
			const entry: Entry = {
				id: formatAttemptId(request.id),
				request,
				settle: settle!,
				exchange: undefined,
				target: undefined,
				cancelled: false,
				dispatchedAt: 0,
			};
			admit(entry);
			return {
				result,
				cancel() {
					cancel(entry);
				},
			};
		},
		cancelAttempt: cancelById,
		state: () => ({
			server,
			leaving,
			inFlight: admission.running.size,
			queued: waiting.size,
			dispatched,
			refused,
		}),
		async drained() {
			if (admission.running.size === 0 && waiting.size === 0) {
				return;
			}

			await new Promise<void>(resolve => {
				idleWaiters.push(resolve);
			});
		},
		close() {
			agent.destroy();
		},
	};
}
