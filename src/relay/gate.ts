/**
 * The gate of the server beside the node. Every request to that server passes here, whichever
 * node took it, so the gate counts exactly, keeps the order of waiting, and enforces that a
 * leaving server gets nothing new. It refuses as not run whatever it has not handed over.
 */
import {
	announcementVerdicts,
	endRecord,
	judgeAnnouncement,
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
	createFailures,
	findFailureShare,
	learnEnd,
	type Failures,
} from '../placing/index.js';
import {countFirst, createRepeatBudget, trySpendRepeat} from '../repeats/index.js';
import {
	changeSlots,
	chooseRetryAfter,
	createQueue,
	currentSlowdown,
	endWork,
	estimateTransfer,
	estimateWait,
	estimateWork,
	hasRoomFor,
	isSpeedStale,
	offerOutcomes,
	offerWork,
	reportSlowdown,
	takeTurns,
	withdrawWork,
	type Offer,
	type QueueState,
	type Turn,
} from '../waiting/index.js';
import type {ServerHealth} from './dialect.js';
import {describe, describeWork, type Entry} from './gate-entry.js';
import type {RelayGate, RelayGateOptions} from './gate-surface.js';
import {createSpeedWatch} from './speed-watch.js';
import {createServerClient, serverEnds, type ServerResult} from './server-exchange.js';

/** How often what waits is looked at: for lost time, and for the server's speed. */
const pumpIntervalMilliseconds = 15;
/** How long a server that takes no connection is left alone, in milliseconds. */
const unreachableMilliseconds = 700;
/** How long a server whose health path is silent is left alone, in milliseconds. */
const silentMilliseconds = 300;
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
	const repeats = createRepeatBudget();
	const entries = new Map<string, Entry>();
	const place = {address: `${server.host}:${server.port}`, service: server.service};
	let queue: QueueState = createQueue(0);
	let failures: Failures = createFailures();
	let record: ServerRecord | undefined;
	let leaving = false;
	const speed = createSpeedWatch({
		probe: async path =>
			client.probe({id: record?.id, host: server.host, port: server.port}, path),
		healthPath: options.healthPath,
		questionsPerSecond: options.probesPerSecond,
		now,
		pace: () => queue.pace,
		onHealth: adopt,
		onSilence() {
			noteUnreachable('the health path does not answer', silentMilliseconds);
		},
	});
	let isReportAwaited = false;
	let unreachableUntil = Number.NEGATIVE_INFINITY;
	let pumpTimer: NodeJS.Timeout | undefined;

	function isAccepting(): boolean {
		return record?.state === serverStates.ready && !leaving && now() >= unreachableUntil;
	}

	function refuse(entry: Entry, refusal: Refusal, why: Record<string, unknown>): void {
		entries.delete(entry.key);
		finishAttempt(attempts, entry.attempt.id);
		log.info('gate refused', {...describe(entry), refusal: refusal.kind, ...why});
		options.onEnd(`refused-${refusal.kind}`, now() - entry.work.arrivedAt);
		entry.settle({
			kind: attemptResultKinds.refused,
			refusal,
			outcome: outcomes.notRun,
			load: undefined,
		});
	}

	function admit(entry: Entry): void {
		const admission = admitAttempt(attempts, entry.attempt.id);
		if (admission !== admissionResults.admitted) {
			// A second copy of an attempt tells nothing of the first, which decides.
			log.warn('gate dropped an attempt', {...describe(entry), admission});
			entry.settle({
				kind: attemptResultKinds.lost,
				message: `not admitted: ${admission}`,
			});
			return;
		}

		entries.set(entry.key, entry);
		const {call, repeat} = entry.attempt;
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
		if (repeat && !trySpendRepeat(repeats, options.repeats, gates, now())) {
			const message = 'the budget for repeats is spent: try again later';
			refuse(entry, createRefusal(refusalKinds.overloaded, message), {
				budget: 'repeats',
				gates,
				repeats: repeats.repeats.length,
				firsts: repeats.firsts.length,
			});
			return;
		}

		if (!repeat) {
			countFirst(repeats, options.repeats, now());
		}

		offer(entry);
	}

	function offer(entry: Entry): void {
		const decision = offerWork(queue, entry.work, now());
		if (decision.outcome === offerOutcomes.tooLate) {
			refuse(entry, describeTooLate(entry, decision), describeOffer(decision));
			return;
		}

		pump();
		if (entry.exchange === undefined) {
			log.info('gate queued', {...describe(entry), ...describeOffer(decision)});
		}
	}

	/** Starts what may start; asks for the server's speed first when that is not known. */
	function pump(): void {
		const turn = takeTurns(queue, now());
		followTurn(turn);
		if (turn.wantsReport) {
			pumpAfterReport();
			return;
		}

		if (queue.waiting.size > 0) {
			pumpLater();
		}
	}

	/** One turn for each report, however many requests wait for it. */
	function pumpAfterReport(): void {
		if (isReportAwaited) {
			return;
		}

		isReportAwaited = true;
		void speed.refresh().then(() => {
			isReportAwaited = false;
			pump();
		});
	}

	/** A node that has just started knows its server by its health until it is announced. */
	function adopt(health: ServerHealth): void {
		const {serverId, slots, isWell} = health;
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

	function noteUnreachable(reason: string, milliseconds: number): void {
		if (now() >= unreachableUntil) {
			log.warn('server unreachable', {server: record?.id, reason});
		}

		unreachableUntil = now() + milliseconds;
		client.forgetConnections();
		refuseWaiting(reason);
	}

	function describeTooLate(entry: Entry, decision: Offer): Refusal {
		const remaining = entry.work.deadlineAt - now();
		const pause = chooseRetryAfter(
			decision.waitMilliseconds,
			remaining,
			options.random(),
		);
		const message = 'no answer would come in time: try again after the stated pause';
		return createRefusal(refusalKinds.overloaded, message, pause);
	}

	function describeOffer(decision: Offer): Record<string, unknown> {
		return {
			waitMilliseconds: Math.round(decision.waitMilliseconds),
			durationMilliseconds: Math.round(decision.durationMilliseconds),
			running: queue.running.size,
			waiting: queue.waiting.size,
			limit: queue.limit,
			slowdown: currentSlowdown(queue.pace, now()),
		};
	}

	function dispatch(entry: Entry): void {
		log.info('gate started', {
			...describe(entry),
			waitedMilliseconds: Math.round(now() - entry.work.arrivedAt),
			running: queue.running.size,
			waiting: queue.waiting.size,
			limit: queue.limit,
			slowdown: currentSlowdown(queue.pace, now()),
			reportAge: Math.round(now() - queue.pace.reportedAt),
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

	function settle(entry: Entry, result: ServerResult): void {
		const present = now();
		const duration = present - entry.startedAt;
		entries.delete(entry.key);
		finishAttempt(attempts, entry.attempt.id);
		learn(entry, result, present);
		const whole = result.end === serverEnds.answered && !entry.cancelled;
		followTurn(endWork(queue, entry.key, {whole}, present));
		if (queue.waiting.size > 0) {
			pump();
		}

		log.info('gate finished', {
			...describe(entry),
			end: entry.cancelled ? 'cancelled' : result.end,
			reason: result.reason,
			server: record?.id,
			milliseconds: Math.round(duration),
		});
		options.onEnd(entry.cancelled ? 'cancelled' : result.end, duration);
		entry.settle(result.result);
	}

	function learn(entry: Entry, result: ServerResult, present: number): void {
		if (result.facts?.slowdown !== undefined) {
			reportSlowdown(queue.pace, result.facts.slowdown, present);
		}

		if (entry.cancelled) {
			return;
		}

		learnEnd(failures, result.end !== serverEnds.answered, present);
		if (result.end === serverEnds.unreachable) {
			noteUnreachable(result.reason, unreachableMilliseconds);
		}
	}

	function followTurn(turn: Turn): void {
		for (const key of turn.late) {
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
			withdrawWork(queue, key);
			const entry = entries.get(key);
			if (entry) {
				refuse(entry, createRefusal(refusalKinds.noServer, `${reason}: use another`), {
					reason,
				});
			}
		}
	}

	/** One timer for the whole queue, and none while it is empty. */
	function pumpLater(): void {
		pumpTimer ??= setTimeout(() => {
			pumpTimer = undefined;
			pump();
		}, pumpIntervalMilliseconds);
	}

	function cancel(entry: Entry): void {
		if (entry.exchange) {
			entry.cancelled = true;
			entry.exchange.cancel();
			return;
		}

		if (withdrawWork(queue, entry.key)) {
			const message = 'the caller gave the request up';
			refuse(entry, createRefusal(refusalKinds.cancelled, message), {});
		}
	}

	function announce(announcement: ServerAnnouncement): AnnouncementVerdict {
		const verdict = judgeAnnouncement(record, announcement, place);
		if (verdict !== announcementVerdicts.taken) {
			log.warn('announcement ignored', {verdict, ...announcement, held: record?.id});
			return verdict;
		}

		const isNewLife =
			record?.id !== announcement.id || record.startedAt !== announcement.startedAt;
		const before = record;
		record = {...announcement, heardAt: now()};
		if (isNewLife) {
			startLife();
		}

		unreachableUntil = Number.NEGATIVE_INFINITY;
		if (isNewLife || before?.state !== announcement.state) {
			log.info('server changed', {...announcement});
			applyRecord();
		}

		return verdict;
	}

	function startLife(): void {
		client.forgetConnections();
		failures = createFailures();
		const previous = queue;
		queue = createQueue(previous.slots);
		for (const [key, running] of previous.running) {
			queue.running.set(key, running);
		}

		for (const [key, work] of previous.waiting) {
			queue.waiting.set(key, work);
		}

		queue.pace.coldUntil = now() + (record?.warmupMilliseconds ?? 0);
	}

	function applyRecord(): void {
		const slots = isAccepting() ? record!.slots : 0;
		followTurn(changeSlots(queue, slots, now()));
		if (slots === 0) {
			refuseWaiting('the server takes no new work');
		}

		options.onSlots(slots);
	}

	return {
		run(attempt) {
			let settleResult!: (result: AttemptResult) => void;
			const result = new Promise<AttemptResult>(resolve => {
				settleResult = resolve;
			});
			const entry: Entry = {
				key: formatAttemptId(attempt.id),
				attempt,
				work: describeWork(attempt, now()),
				settle: settleResult,
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
			if (isAccepting() && isSpeedStale(queue.pace, now())) {
				await speed.refresh();
			}

			return {
				accepting: isAccepting() && hasRoomFor(options.inboundLink, question.bodyBytes),
				waitMilliseconds: estimateWait(queue, question, now()),
				durationMilliseconds:
					estimateTransfer(options.inboundLink, question.bodyBytes) +
					estimateWork(queue, question, now()),
				failureShare: findFailureShare(failures, now()),
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
		discover() {
			if (record === undefined) {
				void speed.refresh();
			}
		},
		announce,
		endServer(id) {
			const ended = endRecord(record, id);
			if (ended === undefined) {
				log.warn('farewell ignored', {id, held: record?.id});
				return false;
			}

			record = ended;
			log.info('server changed', {id, state: ended.state});
			applyRecord();
			return true;
		},
		runsCallerOf(requestId) {
			for (const {attempt, exchange} of entries.values()) {
				const {requestId: runningId} = attempt.call;
				const isLonger = requestId.length > runningId.length && runningId !== '';
				if (exchange && isLonger && requestId.startsWith(runningId)) {
					return true;
				}
			}

			return false;
		},
		leave() {
			leaving = true;
			applyRecord();
		},
		state: () => ({
			server: record,
			accepting: isAccepting(),
			running: queue.running.size,
			waiting: queue.waiting.size,
			limit: queue.limit,
			failureShare: findFailureShare(failures, now()),
		}),
		close() {
			clearTimeout(pumpTimer);
			client.close();
		},
	};
}
