/**
 * The gate admits and queues requests for the local server. Requests from all nodes pass through
 * it, so it knows exactly how many run, keeps the queue in order and sends nothing new to a server
 * that is leaving. A request that it refuses before dispatch is reported as not run.
 */
import type {Readable} from 'node:stream';
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
	isBuffered,
	outcomes,
	refusalKinds,
	type AttemptId,
	type AttemptResult,
	type Refusal,
} from '../call/index.js';
import {
	createFailureRate,
	currentFailureShare,
	recordAttemptResult,
	type FailureRate,
} from '../placing/index.js';
import {
	chooseRetryAfter,
	estimateTransferTime,
	estimateWait,
	estimateServiceTime,
	hasRoomFor,
	needsSpeedForEstimate,
	offerOutcomes,
	recordSlowdown,
	type OfferResult,
	type RequestEnd,
} from '../waiting/index.js';
import {refuseWhereClosed} from './closed-gate.js';
import {createEntry, describeEntry, mayBeParentOf, type GateEntry} from './gate-entry.js';
import {createGateQuarantine, mayHaveCrashed} from './gate-quarantine.js';
import {createGateQueue} from './gate-queue.js';
import type {RelayGate, RelayGateOptions} from './gate-types.js';
import {createLocalServer} from './local-server.js';
import {createRetryAllowance} from './retry-allowance.js';
import {createSpeedProbe} from './speed-probe.js';
import {createServerClient, type ServerTarget} from './server-exchange.js';
import {serverResultKinds, type ServerResult} from './server-result.js';

/** How long a server that refuses connections gets no requests. */
const unreachableBackoffMilliseconds = 700;
/** How long a server whose health path does not respond gets no requests. */
const healthTimeoutBackoffMilliseconds = 300;
/** The gate cancels an attempt that its ingress has not ended this long after the deadline. */
const deadlineGraceMilliseconds = 250;

/**
 * Creates the gate; it accepts no requests until it knows its server.
 *
 * @param options the server, the platform's protocol, the budgets and the clock
 * @returns the gate
 */
export function createRelayGate(options: RelayGateOptions): RelayGate {
	const {now, log, server} = options;
	const client = createServerClient(options);
	const attempts = createAttemptTable();
	const retryAllowance = createRetryAllowance(options);
	const entries = new Map<string, GateEntry>();
	let failureRate: FailureRate = createFailureRate();
	let leaving = false;
	const queue = createGateQueue({
		now,
		refreshSpeed: async () => speedProbe.refresh(),
		onStart: startEntry,
		onTooLate: refuseTooLate,
	});
	const localServer = createLocalServer({
		log,
		now,
		expected: {address: `${server.host}:${server.port}`, service: server.service},
		hasAnnouncedLeaving: options.hasAnnouncedLeaving,
		onLeaving: options.onServerLeaving,
		onNewProcess({warmupMilliseconds}) {
			gateQuarantine.recordNewProcess();
			client.discardConnections();
			failureRate = createFailureRate();
			queue.resetServer(warmupMilliseconds);
		},
		onStateChange: applyServerState,
		onSlotsUsable: applyUsableSlots,
		onRequestRate: queue.changeRequestRate,
		onCold: queue.recordCold,
	});
	const gateQuarantine = createGateQuarantine({
		quarantine: options.quarantine,
		server,
		entries,
		refuseWaiting(entry, refusal) {
			if (queue.withdraw(entry.key)) {
				refuse(entry, refusal, {});
			}
		},
		onCrash() {
			markUnreachable('the server crashed', unreachableBackoffMilliseconds);
		},
		now,
	});
	const speedProbe = createSpeedProbe({
		probe: async path => client.probe(describeTarget(), path),
		healthPath: options.healthPath,
		probesPerSecond: options.probesPerSecond,
		now,
		serverSpeed: () => queue.state().speed,
		onHealth: localServer.handleHealth,
		onTimeout() {
			markUnreachable(
				'the health path does not respond',
				healthTimeoutBackoffMilliseconds,
			);
		},
	});

	/** Whether the gate takes no new requests, whatever the state of its server. */
	function isClosed(): boolean {
		return leaving || options.isEvacuated();
	}

	function isAccepting(): boolean {
		return localServer.isAvailable() && !isClosed();
	}

	function describeTarget(): ServerTarget {
		return {id: localServer.record()?.id, host: server.host, port: server.port};
	}

	function refuse(
		entry: GateEntry,
		refusal: Refusal,
		details: Record<string, unknown>,
	): void {
		entries.delete(entry.key);
		finishAttempt(attempts, entry.attempt.id);
		retryAllowance.release(entry.attempt);
		log.info('gate refused', {
			...describeEntry(entry),
			refusal: refusal.kind,
			...details,
		});
		options.onAttemptEnd(`refused-${refusal.kind}`, now() - entry.request.arrivedAt);
		entry.settle({
			kind: attemptResultKinds.refused,
			refusal,
			outcome: outcomes.notRun,
			load: undefined,
		});
	}

	function admit(entry: GateEntry): void {
		const admission = admitAttempt(attempts, entry.attempt.id);
		if (admission !== admissionResults.admitted) {
			// A duplicate says nothing about the first copy, whose result counts.
			log.warn('gate dropped an attempt', {...describeEntry(entry), admission});
			entry.settle({
				kind: attemptResultKinds.lost,
				message: `not admitted: ${admission}`,
			});
			return;
		}

		entries.set(entry.key, entry);
		const {call} = entry.attempt;
		const quarantineRefusal = gateQuarantine.findRefusal(entry.attempt);
		if (quarantineRefusal) {
			refuse(entry, quarantineRefusal, {});
			return;
		}

		const closedRefusal = refuseWhereClosed({
			isAccepting: isAccepting() && call.service === server.service,
			isLeaving: leaving,
			isHome: options.mayRunHere(call),
		});
		if (closedRefusal) {
			const record = localServer.record();
			refuse(entry, closedRefusal, {
				server: record?.id,
				state: record?.state,
				heardMillisecondsAgo: record && Math.round(now() - record.heardAt),
				leaving,
			});
			return;
		}

		const excess = retryAllowance.reserve(entry.attempt);
		if (excess) {
			refuse(entry, excess.refusal, excess.details);
			return;
		}

		offer(entry);
	}

	function offer(entry: GateEntry): void {
		const decision = queue.offer(entry.request);
		if (decision.outcome === offerOutcomes.tooLate) {
			const pause = choosePause(entry, decision.waitMilliseconds);
			const message =
				'the response would come too late: try again after the stated pause';
			const refusal = createRefusal(refusalKinds.overloaded, message, pause);
			refuse(entry, refusal, describeOffer(decision));
			return;
		}

		if (entry.exchange === undefined) {
			log.info('gate queued', {...describeEntry(entry), ...describeOffer(decision)});
		}
	}

	function choosePause({request}: GateEntry, waitMilliseconds: number): number {
		return chooseRetryAfter(
			waitMilliseconds,
			request.deadlineAt - now(),
			options.random(),
		);
	}

	function markUnreachable(reason: string, milliseconds: number): void {
		localServer.markUnreachable(reason, milliseconds);
		client.discardConnections();
		refuseWaiting(reason);
	}

	function describeOffer(decision: OfferResult): Record<string, unknown> {
		return {
			waitMilliseconds: Math.round(decision.waitMilliseconds),
			durationMilliseconds: Math.round(decision.durationMilliseconds),
			...queue.describe(),
		};
	}

	function startEntry(key: string): void {
		const entry = entries.get(key);
		if (entry) {
			dispatch(entry);
		}
	}

	/** A wait that became too long while the request waited gives the pause before a retry. */
	function refuseTooLate(key: string, waitMilliseconds?: number): void {
		const entry = entries.get(key);
		if (entry) {
			const message = 'the response would now come too late';
			const pause =
				waitMilliseconds === undefined ? undefined : choosePause(entry, waitMilliseconds);
			refuse(entry, createRefusal(refusalKinds.overloaded, message, pause), {
				waitedMilliseconds: Math.round(now() - entry.request.arrivedAt),
			});
		}
	}

	function dispatch(entry: GateEntry): void {
		log.info('gate started', {
			...describeEntry(entry),
			waitedMilliseconds: Math.round(now() - entry.request.arrivedAt),
			...queue.describe(),
			reportAge: Math.round(now() - queue.state().speed.reportedAt),
		});
		dispatchAttempt(attempts, entry.attempt.id);
		retryAllowance.recordDispatch(entry.attempt);
		entry.startedAt = now();
		const target = describeTarget();
		entry.serverId = target.id;
		entry.exchange = client.start(target, entry.attempt.call);
		const timer = setTimeout(
			() => {
				cancel(entry);
			},
			entry.request.deadlineAt - now() + deadlineGraceMilliseconds,
		);
		const stopTimer = (): void => {
			clearTimeout(timer);
		};

		void entry.exchange.result.then(async result => {
			const examined = mayHaveCrashed(entry, result)
				? await gateQuarantine.examine(entry, result)
				: result;
			handleResult(entry, examined, stopTimer);
		});
	}

	function handleResult(
		entry: GateEntry,
		result: ServerResult,
		stopTimer: () => void,
	): void {
		const finishedAt = now();
		const duration = finishedAt - entry.startedAt;
		recordServerResult(entry, result, finishedAt);
		const isComplete = result.kind === serverResultKinds.answered && !entry.cancelled;
		const release = (end: RequestEnd): void => {
			stopTimer();
			entries.delete(entry.key);
			finishAttempt(attempts, entry.attempt.id);
			queue.finish(entry.key, end);
		};

		const stream = findStream(result.result);
		if (stream === undefined) {
			release({isComplete});
		} else {
			// Until its end the server works on it; how long that takes depends on the reader.
			onClose(stream, () => {
				release({isComplete: false});
			});
		}

		log.info('gate finished', {
			...describeEntry(entry),
			end: entry.cancelled ? 'cancelled' : result.kind,
			reason: result.reason,
			server: entry.serverId,
			milliseconds: Math.round(duration),
		});
		options.onAttemptEnd(entry.cancelled ? 'cancelled' : result.kind, duration);
		entry.settle(result.result);
	}

	function recordServerResult(
		entry: GateEntry,
		result: ServerResult,
		finishedAt: number,
	): void {
		if (result.metadata?.slowdown !== undefined) {
			recordSlowdown(queue.state().speed, result.metadata.slowdown, finishedAt);
		}

		if (result.notice) {
			localServer.handleNotice(result.notice, entry.serverId);
		}

		gateQuarantine.recordResult(entry, result);
		if (entry.cancelled) {
			return;
		}

		recordAttemptResult(
			failureRate,
			result.kind !== serverResultKinds.answered,
			finishedAt,
		);
		if (result.kind === serverResultKinds.unreachable) {
			markUnreachable(result.reason, unreachableBackoffMilliseconds);
		}
	}

	/** Refuses the waiting requests so that they can go to another gate. */
	function refuseWaiting(reason: string): void {
		for (const key of queue.state().waiting.keys()) {
			queue.withdraw(key);
			const entry = entries.get(key);
			if (entry) {
				refuse(entry, createRefusal(refusalKinds.noServer, `${reason}: use another`), {
					reason,
				});
			}
		}
	}

	function cancel(entry: GateEntry): void {
		if (entry.exchange) {
			entry.cancelled = true;
			entry.exchange.cancel();
			return;
		}

		if (queue.withdraw(entry.key)) {
			const message = 'the caller cancelled the request';
			refuse(entry, createRefusal(refusalKinds.cancelled, message), {});
		}
	}

	function applyServerState(): void {
		applyUsableSlots();
		const isOpen = !isClosed() && localServer.usableSlots() > 0;
		const slots = isOpen ? localServer.record()!.slots : 0;
		if (slots === 0) {
			refuseWaiting('the server accepts no new requests');
		}

		options.onSlotsChanged(slots);
	}

	function cancelAttemptById(id: AttemptId): boolean {
		const entry = entries.get(formatAttemptId(id));
		const cancellation = cancelAttempt(attempts, id);
		if (cancellation === cancellationResults.withdrawn && entry) {
			cancel(entry);
		}

		return (
			cancellation === cancellationResults.neverDispatched ||
			cancellation === cancellationResults.withdrawn
		);
	}

	function applyUsableSlots(): void {
		queue.changeSlots(isClosed() ? 0 : localServer.usableSlots());
	}

	return {
		run(attempt) {
			let settleResult!: (result: AttemptResult) => void;
			const result = new Promise<AttemptResult>(resolve => {
				settleResult = resolve;
			});
			const entry = createEntry(attempt, now(), settleResult, () =>
				gateQuarantine.mustRunAlone(attempt),
			);
			admit(entry);
			return {
				result,
				cancel() {
					cancel(entry);
				},
				withdraw: async () => cancelAttemptById(attempt.id),
			};
		},
		async report(question) {
			if (isAccepting() && needsSpeedForEstimate(queue.state(), now())) {
				await speedProbe.refresh();
			}

			return {
				accepting: isAccepting() && hasRoomFor(options.inboundLink, question.bodyBytes),
				waitMilliseconds: estimateWait(queue.state(), question, now()),
				durationMilliseconds:
					estimateTransferTime(options.inboundLink, question.bodyBytes) +
					estimateServiceTime(queue.state(), question, now()),
				failureShare: currentFailureShare(failureRate, now()),
			};
		},
		cancelAttempt(id, keepWaiting) {
			const isWaiting = keepWaiting && entries.has(formatAttemptId(id));
			return isWaiting ? false : cancelAttemptById(id);
		},
		discoverServer() {
			if (localServer.record() === undefined && !options.isEvacuated()) {
				void speedProbe.refresh();
			}
		},
		applyRoutes() {
			queue.changeColdRate(options.coldRequestsPerSecond());
		},
		applyEvacuation: applyServerState,
		handleAnnouncement: localServer.handleAnnouncement,
		deregisterServer: localServer.deregister,
		applyLeaving: localServer.applyLeaving,
		findParent(claim) {
			for (const entry of entries.values()) {
				if (mayBeParentOf(entry, claim, now())) {
					const {isRetry, call} = entry.attempt;
					return {isRepeated: isRetry || call.repeated};
				}
			}

			return undefined;
		},
		drain() {
			leaving = true;
			applyServerState();
		},
		state: () => ({
			server: localServer.record(),
			accepting: isAccepting(),
			running: queue.state().running.size,
			waiting: queue.state().waiting.size,
			limit: queue.state().limit,
			requestsPerSecond: queue.state().startRate.requestsPerSecond,
			failureShare: currentFailureShare(failureRate, now()),
		}),
		close() {
			queue.close();
			client.close();
		},
	};
}

/** Finds the body of a response that is still being received. */
function findStream(result: AttemptResult): Readable | undefined {
	return result.kind === attemptResultKinds.answered && !isBuffered(result.body)
		? result.body
		: undefined;
}

function onClose(stream: Readable, done: () => void): void {
	if (stream.closed) {
		done();
		return;
	}

	stream.once('close', done);
}
