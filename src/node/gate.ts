/**
 * The gate of the node's own server: admission control and dispatch. Every call to that server
 * passes through it, whichever node is the ingress, so its count of requests in flight is exact.
 * It owns the connections to the server; what it refuses before the dispatch has the outcome
 * `not-run`.
 */
import {Agent} from 'node:http';
import type {Readable} from 'node:stream';
import {
	changeSlots,
	cancel as cancelAdmission,
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
	isListening,
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

/** The node's own server, as it announced itself. */
export type LocalServer = {
	readonly name: string;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	/** Requests that it runs concurrently. */
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
	/** Sets the server, or removes it when its lease has expired. */
	readonly setServer: (server: LocalServer | undefined) => void;
	/** Starts or stops refusing new requests. */
	readonly setDraining: (draining: boolean) => void;
	/** Applies another preset; queued requests stay queued. */
	readonly setPolicy: (policy: GatePolicy) => void;
	readonly run: (request: AttemptRequest) => RunningAttempt;
	/** Cancels an attempt whose ingress lost contact, and tells whether it was never dispatched. */
	readonly cancelAttempt: (id: AttemptId) => CancellationResult;
	readonly state: () => GateState;
	/** Resolves once nothing is in flight or queued. */
	readonly drained: () => Promise<void>;
	readonly close: () => void;
};

type GateEntry = {
	/** Formatted id of the attempt. */
	readonly id: string;
	readonly request: AttemptRequest;
	readonly settle: (result: AttemptResult) => void;
	exchange: RunningExchange | undefined;
	/** The server that it was dispatched to. */
	target: LocalServer | undefined;
	/** Whether the gate itself aborted the exchange. */
	cancelled: boolean;
	/** Milliseconds of the monotonic clock; 0 before the dispatch. */
	dispatchedAt: number;
};

type GateOptions = {
	/** Initial policy, until another preset is applied. */
	readonly policy: GatePolicy;
	/** Current time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	/** Called when a request's connection to the server broke and the server accepts no new one. */
	readonly onServerGone: (server: LocalServer) => void;
};

const maximumServerConnections = 200;
const idleConnectionMilliseconds = 4000;
const expiryIntervalMilliseconds = 5;

/**
 * Creates the gate.
 *
 * @param options initial policy, clock and callback
 * @returns the gate, without a server yet
 */
export function createGate(options: GateOptions): Gate {
	const {now} = options;
	const agent = new Agent({
		keepAlive: true,
		maxSockets: maximumServerConnections,
		timeout: idleConnectionMilliseconds,
	});
	const admission = createAdmission(options.policy, 0);
	const queue = new Map<string, GateEntry>();
	/** Suspect attempts that must run alone; while there are any, the server gets one at a time. */
	const isolatedAttempts = new Set<string>();
	const attempts = createAttemptTable();
	const idleWaiters: Array<() => void> = [];
	let server: LocalServer | undefined;
	let draining = false;
	let expiryTimer: NodeJS.Timeout | undefined;
	let dispatched = 0;
	let refused = 0;

	function refuse(entry: GateEntry, refusal: Refusal): void {
		refused += 1;
		finishAttempt(attempts, entry.request.id);
		endIsolation(entry);
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
			queued: queue.size,
			serviceMilliseconds: admission.serviceMilliseconds,
			slots: server?.slots ?? 0,
		});
	}

	function dispatch(entry: GateEntry, target: LocalServer): void {
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

	function settleExchange(entry: GateEntry, result: ExchangeResult): void {
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
	 * If the connection broke and the server accepts no new one, the server has crashed. The slot
	 * is freed only after this check: otherwise the next request would go to the dead server over
	 * a connection that is not yet seen as closed, and the crash would be attributed to that
	 * request.
	 */
	async function settleFailure(entry: GateEntry, result: ExchangeFailed): Promise<void> {
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

	/** Limits the server to one request at a time until a suspect attempt has ended. */
	function startIsolation(entry: GateEntry): void {
		if (entry.request.suspect) {
			isolatedAttempts.add(entry.id);
			applySlots();
		}
	}

	function endIsolation(entry: GateEntry): void {
		if (isolatedAttempts.delete(entry.id) && isolatedAttempts.size === 0) {
			applySlots();
		}
	}

	function applySlots(): void {
		const slots = server?.slots ?? 0;
		const usableSlots = isolatedAttempts.size > 0 ? Math.min(slots, 1) : slots;
		applySlotAssignment(changeSlots(admission, usableSlots, now()));
	}

	function releaseWhenClosed(entry: GateEntry, body: Readable): void {
		body.once('close', () => {
			// The duration of a stream depends on its reader, so it is not measured.
			release(entry, {partial: true});
		});
	}

	function release(entry: GateEntry, end: Omit<RequestEnd, 'serviceMilliseconds'>): void {
		finishAttempt(attempts, entry.request.id);
		const releasedAt = now();
		const serviceMilliseconds = releasedAt - entry.dispatchedAt;
		applySlotAssignment(
			releaseSlot(admission, entry.id, {...end, serviceMilliseconds}, releasedAt),
		);
		endIsolation(entry);
		resolveIdleWaiters();
	}

	function applySlotAssignment(assignment: SlotAssignment): void {
		for (const id of assignment.dispatch) {
			const entry = removeQueued(id);
			if (entry && server) {
				dispatch(entry, server);
			}
		}

		refuseAll(assignment.refused);
	}

	function refuseAll(refusals: readonly RefusedRequest[]): void {
		for (const {id, reason, retryAfterMilliseconds} of refusals) {
			const entry = removeQueued(id);
			if (entry) {
				refuse(entry, createGateRefusal(reason, retryAfterMilliseconds));
			}
		}
	}

	/** Refuses the queued requests when their server is gone, so that they can go to another node. */
	function refuseQueued(): void {
		for (const entry of queue.values()) {
			cancelAdmission(admission, entry.id);
			refuse(entry, createNoLocalServerRefusal(entry.request.service));
		}

		queue.clear();
		resolveIdleWaiters();
	}

	function removeQueued(id: string): GateEntry | undefined {
		const entry = queue.get(id);
		queue.delete(id);
		return entry;
	}

	/** Uses one timer for the whole queue, and none while it is empty. */
	function scheduleExpiry(): void {
		expiryTimer ??= setTimeout(() => {
			expiryTimer = undefined;
			refuseAll(expire(admission, now()));
			if (queue.size > 0) {
				scheduleExpiry();
			}

			resolveIdleWaiters();
		}, expiryIntervalMilliseconds);
	}

	function resolveIdleWaiters(): void {
		if (admission.running.size > 0 || queue.size > 0) {
			return;
		}

		for (const resolve of idleWaiters.splice(0)) {
			resolve();
		}
	}

	function admit(entry: GateEntry): void {
		const result = admitAttempt(attempts, entry.request.id);
		if (result !== admissionResults.admitted) {
			refuseUnadmitted(entry, result);
			return;
		}

		if (draining) {
			refuse(
				entry,
				createRefusal(refusalKinds.leaving, 'this node is draining: use another node'),
			);
			return;
		}

		if (server?.service !== entry.request.service) {
			refuse(entry, createNoLocalServerRefusal(entry.request.service));
			return;
		}

		requestSlot(entry, server);
	}

	function requestSlot(entry: GateEntry, target: LocalServer): void {
		const {rank, caller, body, deadlineAt} = entry.request;
		startIsolation(entry);
		const decision = offer(
			admission,
			{
				id: entry.id,
				rank,
				caller,
				// A streamed body is bounded by its progress, not by the deadline.
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

		queue.set(entry.id, entry);
		scheduleExpiry();
		if (decision.displaced !== undefined) {
			refuseAll([decision.displaced]);
		}
	}

	/** A duplicate attempt gets the outcome `unknown`: the result of the first copy counts. */
	function refuseUnadmitted(entry: GateEntry, result: AdmissionResult): void {
		refused += 1;
		entry.settle({
			kind: attemptResultKinds.refused,
			refusal: createRefusal(
				refusalKinds.cancelled,
				`the attempt was not admitted (${result}): send the request again`,
			),
			outcome: result === admissionResults.duplicate ? outcomes.unknown : outcomes.notRun,
			load: formatLoad(),
		});
	}

	function cancelById(id: AttemptId): CancellationResult {
		const cancellation = cancelAttempt(attempts, id);
		const entry = queue.get(formatAttemptId(id));
		if (entry) {
			cancel(entry);
		}

		return cancellation;
	}

	function cancel(entry: GateEntry): void {
		if (entry.exchange) {
			entry.cancelled = true;
			entry.exchange.cancel();
			return;
		}

		if (!cancelAdmission(admission, entry.id)) {
			return;
		}

		queue.delete(entry.id);
		refuse(
			entry,
			createRefusal(refusalKinds.cancelled, 'the caller cancelled the request'),
		);
		resolveIdleWaiters();
	}

	return {
		setServer(announced) {
			const isOtherService = announced?.service !== server?.service;
			server = announced;
			if (isOtherService) {
				refuseQueued();
			}

			applySlots();
		},
		setPolicy(policy) {
			changePolicy(admission, policy);
		},
		setDraining(value) {
			draining = value;
		},
		run(request) {
			let settle: (result: AttemptResult) => void;
			const result = new Promise<AttemptResult>(resolve => {
				settle = resolve;
			});
			const entry: GateEntry = {
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
			leaving: draining,
			inFlight: admission.running.size,
			queued: queue.size,
			dispatched,
			refused,
		}),
		async drained() {
			if (admission.running.size === 0 && queue.size === 0) {
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
