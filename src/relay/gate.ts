/**
 * The gate of the server beside the node. Every request to that server passes here, whichever
 * node took it, so the gate counts exactly, keeps the order of waiting, and enforces that a
 * leaving server gets nothing new. It refuses as not run whatever it has not handed over.
 */
import {
	announcementVerdicts,
	markServerGone,
	evaluateAnnouncement,
	serverStates,
	type AnnouncementVerdict,
	type ServerAnnouncement,
	type ServerRecord,
} from '../announcement/index.js';
import {
	admissionResults,
	admitAttempt,
	attemptResultKinds,
	cancelAttempt,
	cancellationResults,
	createAttemptTable,
	createRefusal,
	dispatchAttempt,
	finishAttempt,
	formatAttemptId,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type Refusal,
} from '../call/index.js';
import {
	createFailureRate,
	currentFailureShare,
	recordAttemptResult,
	type FailureRate,
} from '../placing/index.js';
import {recordFirstAttempt, createRetryBudget, trySpendRetry} from '../repeats/index.js';
import {
	changeSlots,
	chooseRetryAfter,
	createQueue,
	currentSlowdown,
	finishRequest,
	estimateTransferTime,
	estimateWait,
	estimateServiceTime,
	hasRoomFor,
	isSpeedStale,
	offerOutcomes,
	offerRequest,
	recordSlowdown,
	assignSlots,
	withdrawRequest,
	type OfferResult,
	type QueueState,
	type SlotAssignment,
} from '../waiting/index.js';
import type {ServerHealth} from './platform-protocol.js';
import {describeEntry, createGateRequest, type GateEntry} from './gate-entry.js';
import type {RelayGate, RelayGateOptions} from './gate-types.js';
import {createSpeedProbe} from './speed-probe.js';
import {
	createServerClient,
	serverResultKinds,
	type ServerResult,
} from './server-exchange.js';

/** How often what waits is looked at: for lost time, and for the server's speed. */
const queueCheckIntervalMilliseconds = 15;
/** How long a server that takes no connection is left alone, in milliseconds. */
const unreachableBackoffMilliseconds = 700;
/** How long a server whose health path is silent is left alone, in milliseconds. */
const healthTimeoutBackoffMilliseconds = 300;
/** The gate itself ends what its ingress has not ended by the deadline and this much more. */
const deadlineGraceMilliseconds = 250;

/**
 * Creates the gate; it takes no work before the server has announced itself.
 *
 * @param options the server, its language, the budgets and the clock
 * @returns the gate
 */
export function createRelayGate(options: RelayGateOptions): RelayGate {
	const {now, log, server} = options;
	const client = createServerClient(options);
	const attempts = createAttemptTable();
	const repeats = createRetryBudget();
	const entries = new Map<string, GateEntry>();
	const place = {address: `${server.host}:${server.port}`, service: server.service};
	let queue: QueueState = createQueue(0);
	let failures: FailureRate = createFailureRate();
	let record: ServerRecord | undefined;
	let leaving = false;
	const speed = createSpeedProbe({
		probe: async path =>
			client.probe({id: record?.id, host: server.host, port: server.port}, path),
		healthPath: options.healthPath,
		probesPerSecond: options.probesPerSecond,
		now,
		serverSpeed: () => queue.speed,
		onHealth: adoptFromHealth,
		onTimeout() {
			markUnreachable(
				'the health path does not answer',
				healthTimeoutBackoffMilliseconds,
			);
		},
	});
	let isReportAwaited = false;
	let unreachableUntil = Number.NEGATIVE_INFINITY;
	let queueTimer: NodeJS.Timeout | undefined;

	function isAccepting(): boolean {
		return record?.state === serverStates.ready && !leaving && now() >= unreachableUntil;
	}

	function refuse(
		entry: GateEntry,
		refusal: Refusal,
		why: Record<string, unknown>,
	): void {
		entries.delete(entry.key);
		finishAttempt(attempts, entry.attempt.id);
		log.info('gate refused', {...describeEntry(entry), refusal: refusal.kind, ...why});
		options.onAttemptEnd(`refused-${refusal.kind}`, now() - entry.work.arrivedAt);
		entry.handleServerResult({
			kind: attemptResultKinds.refused,
			refusal,
			outcome: outcomes.notRun,
			load: undefined,
		});
	}

	function admit(entry: GateEntry): void {
		const admission = admitAttempt(attempts, entry.attempt.id);
		if (admission !== admissionResults.admitted) {
			// A second copy of an attempt tells nothing of the first, which decides.
			log.warn('gate dropped an attempt', {...describeEntry(entry), admission});
			entry.handleServerResult({
				kind: attemptResultKinds.lost,
				message: `not admitted: ${admission}`,
			});
			return;
		}

		entries.set(entry.key, entry);
		const {call, isRetry: repeat} = entry.attempt;
		if (!isAccepting() || call.service !== server.service) {
			const kind = leaving ? refusalKinds.leaving : refusalKinds.noServer;
			refuse(entry, createRefusal(kind, 'this gate takes no new work: use another'), {
				server: record?.id,
				state: record?.state,
				heardMillisecondsAgo: record && Math.round(now() - record.heardAt),
				leaving,
			});
			return;
		}

		const gates = options.countGates();
		if (repeat && !trySpendRetry(repeats, options.retryPolicy, gates, now())) {
			const message = 'the budget for repeats is spent: try again later';
			refuse(entry, createRefusal(refusalKinds.overloaded, message), {
				budget: 'repeats',
				gates,
				repeats: repeats.retries.length,
				firsts: repeats.firstAttempts.length,
			});
			return;
		}

		if (!repeat) {
			recordFirstAttempt(repeats, options.retryPolicy, now());
		}

		offer(entry);
	}

	function offer(entry: GateEntry): void {
		const decision = offerRequest(queue, entry.work, now());
		if (decision.outcome === offerOutcomes.tooLate) {
			refuse(entry, createTooLateRefusal(entry, decision), describeOffer(decision));
			return;
		}

		processQueue();
		if (entry.exchange === undefined) {
			log.info('gate queued', {...describeEntry(entry), ...describeOffer(decision)});
		}
	}

	/** Starts what may start; asks for the server's speed first when that is not known. */
	function processQueue(): void {
		const turn = assignSlots(queue, now());
		applyTurn(turn);
		if (turn.needsSpeedReport) {
			processQueueAfterReport();
			return;
		}

		if (queue.waiting.size > 0) {
			scheduleQueueCheck();
		}
	}

	/** One turn for each report, however many requests wait for it. */
	function processQueueAfterReport(): void {
		if (isReportAwaited) {
			return;
		}

		isReportAwaited = true;
		void speed.refresh().then(() => {
			isReportAwaited = false;
			processQueue();
		});
	}

	/** A node that has just started knows its server by its health until it is announced. */
	function adoptFromHealth(health: ServerHealth): void {
		const {serverId, slots, isHealthy: isWell} = health;
		if (
			record !== undefined ||
			!isWell ||
			serverId === undefined ||
			slots === undefined
		) {
			return;
		}

		announce({
			...place,
			id: serverId,
			slots,
			state: serverStates.ready,
			sequence: Number.NEGATIVE_INFINITY,
			warmupMilliseconds: 0,
			startedAt: undefined,
		});
	}

	function markUnreachable(reason: string, milliseconds: number): void {
		if (now() >= unreachableUntil) {
			log.warn('server unreachable', {server: record?.id, reason});
		}

		unreachableUntil = now() + milliseconds;
		client.discardConnections();
		refuseWaiting(reason);
	}

	function createTooLateRefusal(entry: GateEntry, decision: OfferResult): Refusal {
		const remaining = entry.work.deadlineAt - now();
		const pause = chooseRetryAfter(
			decision.waitMilliseconds,
			remaining,
			options.random(),
		);
		const message = 'no answer would come in time: try again after the stated pause';
		return createRefusal(refusalKinds.overloaded, message, pause);
	}

	function describeOffer(decision: OfferResult): Record<string, unknown> {
		return {
			waitMilliseconds: Math.round(decision.waitMilliseconds),
			durationMilliseconds: Math.round(decision.durationMilliseconds),
			running: queue.running.size,
			waiting: queue.waiting.size,
			limit: queue.limit,
			slowdown: currentSlowdown(queue.speed, now()),
		};
	}

	function dispatch(entry: GateEntry): void {
		log.info('gate started', {
			...describeEntry(entry),
			waitedMilliseconds: Math.round(now() - entry.work.arrivedAt),
			running: queue.running.size,
			waiting: queue.waiting.size,
			limit: queue.limit,
			slowdown: currentSlowdown(queue.speed, now()),
			reportAge: Math.round(now() - queue.speed.reportedAt),
		});
		dispatchAttempt(attempts, entry.attempt.id);
		entry.startedAt = now();
		entry.exchange = client.start(
			{id: record?.id, host: server.host, port: server.port},
			entry.attempt.call,
		);
		const timer = setTimeout(
			() => {
				cancel(entry);
			},
			entry.work.deadlineAt - now() + deadlineGraceMilliseconds,
		);
		void entry.exchange.result.then(result => {
			clearTimeout(timer);
			settle(entry, result);
		});
	}

	function settle(entry: GateEntry, result: ServerResult): void {
		const present = now();
		const duration = present - entry.startedAt;
		entries.delete(entry.key);
		finishAttempt(attempts, entry.attempt.id);
		recordServerResult(entry, result, present);
		const whole = result.kind === serverResultKinds.answered && !entry.cancelled;
		applyTurn(finishRequest(queue, entry.key, {isComplete: whole}, present));
		if (queue.waiting.size > 0) {
			processQueue();
		}

		log.info('gate finished', {
			...describeEntry(entry),
			end: entry.cancelled ? 'cancelled' : result.kind,
			reason: result.reason,
			server: record?.id,
			milliseconds: Math.round(duration),
		});
		options.onAttemptEnd(entry.cancelled ? 'cancelled' : result.kind, duration);
		entry.handleServerResult(result.result);
	}

	function recordServerResult(
		entry: GateEntry,
		result: ServerResult,
		present: number,
	): void {
		if (result.metadata?.slowdown !== undefined) {
			recordSlowdown(queue.speed, result.metadata.slowdown, present);
		}

		if (entry.cancelled) {
			return;
		}

		recordAttemptResult(failures, result.kind !== serverResultKinds.answered, present);
		if (result.kind === serverResultKinds.unreachable) {
			markUnreachable(result.reason, unreachableBackoffMilliseconds);
		}
	}

	function applyTurn(turn: SlotAssignment): void {
		for (const key of turn.tooLate) {
			const entry = entries.get(key);
			if (entry) {
				const message = 'no answer would come in time any more';
				refuse(entry, createRefusal(refusalKinds.overloaded, message), {
					waitedMilliseconds: Math.round(now() - entry.work.arrivedAt),
				});
			}
		}

		for (const key of turn.started) {
			const entry = entries.get(key);
			if (entry) {
				dispatch(entry);
			}
		}
	}

	/** What waits for a server that takes no more may go to another gate. */
	function refuseWaiting(reason: string): void {
		for (const key of queue.waiting.keys()) {
			withdrawRequest(queue, key);
			const entry = entries.get(key);
			if (entry) {
				refuse(entry, createRefusal(refusalKinds.noServer, `${reason}: use another`), {
					reason,
				});
			}
		}
	}

	/** One timer for the whole queue, and none while it is empty. */
	function scheduleQueueCheck(): void {
		queueTimer ??= setTimeout(() => {
			queueTimer = undefined;
			processQueue();
		}, queueCheckIntervalMilliseconds);
	}

	function cancel(entry: GateEntry): void {
		if (entry.exchange) {
			entry.cancelled = true;
			entry.exchange.cancel();
			return;
		}

		if (withdrawRequest(queue, entry.key)) {
			const message = 'the caller gave the request up';
			refuse(entry, createRefusal(refusalKinds.cancelled, message), {});
		}
	}

	function announce(announcement: ServerAnnouncement): AnnouncementVerdict {
		const verdict = evaluateAnnouncement(record, announcement, place);
		if (verdict !== announcementVerdicts.accepted) {
			log.warn('announcement ignored', {verdict, ...announcement, held: record?.id});
			return verdict;
		}

		const isRestart =
			record?.id !== announcement.id || record.startedAt !== announcement.startedAt;
		const before = record;
		record = {...announcement, heardAt: now()};
		if (isRestart) {
			resetForRestart();
		}

		unreachableUntil = Number.NEGATIVE_INFINITY;
		if (isRestart || before?.state !== announcement.state) {
			log.info('server changed', {...announcement});
			applyRecord();
		}

		return verdict;
	}

	function resetForRestart(): void {
		client.discardConnections();
		failures = createFailureRate();
		const previous = queue;
		queue = createQueue(previous.slots);
		for (const [key, running] of previous.running) {
			queue.running.set(key, running);
		}

		for (const [key, work] of previous.waiting) {
			queue.waiting.set(key, work);
		}

		queue.speed.coldUntil = now() + (record?.warmupMilliseconds ?? 0);
	}

	function applyRecord(): void {
		const slots = isAccepting() ? record!.slots : 0;
		applyTurn(changeSlots(queue, slots, now()));
		if (slots === 0) {
			refuseWaiting('the server takes no new work');
		}

		options.onSlotsChanged(slots);
	}

	return {
		run(attempt) {
			let settleResult!: (result: AttemptResult) => void;
			const result = new Promise<AttemptResult>(resolve => {
				settleResult = resolve;
			});
			const entry: GateEntry = {
				key: formatAttemptId(attempt.id),
				attempt,
				work: createGateRequest(attempt, now()),
				handleServerResult: settleResult,
				exchange: undefined,
				cancelled: false,
				startedAt: 0,
			};
			admit(entry);
			return {
				result,
				cancel() {
					cancel(entry);
				},
			};
		},
		async report(question) {
			if (isAccepting() && isSpeedStale(queue.speed, now())) {
				await speed.refresh();
			}

			return {
				accepting: isAccepting() && hasRoomFor(options.inboundLink, question.bodyBytes),
				waitMilliseconds: estimateWait(queue, question, now()),
				durationMilliseconds:
					estimateTransferTime(options.inboundLink, question.bodyBytes) +
					estimateServiceTime(queue, question, now()),
				failureShare: currentFailureShare(failures, now()),
			};
		},
		cancelAttempt(id) {
			const entry = entries.get(formatAttemptId(id));
			const cancellation = cancelAttempt(attempts, id);
			if (cancellation === cancellationResults.withdrawn && entry) {
				cancel(entry);
			}

			return (
				cancellation === cancellationResults.neverDispatched ||
				cancellation === cancellationResults.withdrawn
			);
		},
		discoverServer() {
			if (record === undefined) {
				void speed.refresh();
			}
		},
		handleAnnouncement: announce,
		deregisterServer(id) {
			const ended = markServerGone(record, id);
			if (ended === undefined) {
				log.warn('farewell ignored', {id, held: record?.id});
				return false;
			}

			record = ended;
			log.info('server changed', {id, state: ended.state});
			applyRecord();
			return true;
		},
		isParentRunning(requestId) {
			for (const {attempt, exchange} of entries.values()) {
				const {requestId: runningId} = attempt.call;
				const isLonger = requestId.length > runningId.length && runningId !== '';
				if (exchange && isLonger && requestId.startsWith(runningId)) {
					return true;
				}
			}

			return false;
		},
		drain() {
			leaving = true;
			applyRecord();
		},
		state: () => ({
			server: record,
			accepting: isAccepting(),
			running: queue.running.size,
			waiting: queue.waiting.size,
			limit: queue.limit,
			failureShare: currentFailureShare(failures, now()),
		}),
		close() {
			clearTimeout(queueTimer);
			client.close();
		},
	};
}
