/**
 * Runs a call to its end: chooses a gate, sends an attempt and decides on the next step, until
 * there is one result for the caller. Owns the calls that it runs.
 */
import {
	attemptResultKinds,
	createRefusal,
	isBuffered,
	nextSequence,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type Refusal,
	type RunningAttempt,
} from '../call/index.js';
import type {Logger} from '../log/index.js';
import {crashVerdicts} from '../quarantine/index.js';
import {chooseRetryAfter} from '../waiting/index.js';
import type {RelayCall} from './call.js';
import type {CrashQuarantine} from './crash-quarantine.js';
import {createQuarantineRefusal, findReportedCrash} from './crash-result.js';
import type {RelayGate} from './gate-types.js';
import {decideRelayStep, reachedServer, relaySteps, type RelayStep} from './next-step.js';
import type {PeerClient} from './peer-client.js';
import type {Placer, ScoredGate} from './placer.js';

export type RelayRunnerOptions = {
	/** Name of this incarnation of the node in the ids of its attempts. */
	readonly ingressName: string;
	readonly nodeId: string;
	readonly gate: Pick<RelayGate, 'run'>;
	readonly peers: Pick<PeerClient, 'send'>;
	readonly placer: Placer;
	/** What is known of requests that crash servers. */
	readonly quarantine: Pick<
		CrashQuarantine,
		'findVerdict' | 'listSuspectDigests' | 'recordReport' | 'recordAnswer'
	>;
	readonly log: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	/** Wall clock in milliseconds; used only to space the sequence numbers of attempts. */
	readonly wallClock: () => number;
};

/** Runs a call; the result is a response or a refusal, or lost after a cancellation. */
export type RunRelayCall = (call: RelayCall) => RunningAttempt;

type CallState = {
	readonly call: RelayCall;
	readonly settle: (result: AttemptResult) => void;
	/** Gates that already had the call. */
	readonly excluded: Set<string>;
	serverAttempts: number;
	offers: number;
	/** Refusals by gates since a server last had the call. */
	refusalsInRow: number;
	/** Whether a server may have run the call. */
	mayHaveRun: boolean;
	/** A server's error response, returned if no attempt does better. */
	failure: AttemptResult | undefined;
	refusal: Refusal | undefined;
	running: RunningAttempt | undefined;
	finished: boolean;
};

/** How long before the deadline an attempt that still waits is withdrawn, besides the round trips. */
const withdrawalLeadMilliseconds = 15;
const withdrawalRoundTrips = 2;
/** Share of the latency target after which a call that no gate accepted may be retried. */
const noServerRetryShare = 1 / 3;

/**
 * Creates the runner.
 *
 * @param options the gates, the placer, log and clocks
 * @returns a function that runs calls
 */
export function createRelayRunner(options: RelayRunnerOptions): RunRelayCall {
	const {log, now} = options;
	let sequence = 0;

	function finish(state: CallState, result: AttemptResult): void {
		if (!state.finished) {
			state.finished = true;
			state.settle(result);
		}
	}

	async function runAttempts(state: CallState): Promise<void> {
		let step: RelayStep = relaySteps.offer;
		while (!state.finished && step !== relaySteps.end) {
			if (options.quarantine.findVerdict(state.call) === crashVerdicts.proven) {
				state.refusal = createQuarantineRefusal();
				break;
			}

			const gates = await options.placer.orderGates(state.call, state.excluded);
			const [best] = gates;
			if (state.finished || best === undefined) {
				break;
			}

			logPlacement(state, gates);
			const result = await attempt(state, best);
			if (state.finished) {
				return;
			}

			step = decide(state, result);
			if (step === relaySteps.answer) {
				finish(state, result);
			}
		}

		finishWithoutResponse(state);
	}

	async function attempt(state: CallState, gate: ScoredGate): Promise<AttemptResult> {
		sequence = nextSequence(sequence, options.wallClock());
		const suspectDigests = options.quarantine.listSuspectDigests(state.call);
		const sent = {
			id: {ingress: options.ingressName, sequence},
			call: state.call,
			isRetry: state.serverAttempts > 0,
			...(suspectDigests.length > 0 && {suspectDigests}),
		};
		const {member} = gate;
		state.offers += 1;
		state.excluded.add(member.nodeId);
		const running =
			member.nodeId === options.nodeId
				? options.gate.run(sent)
				: options.peers.send(member, sent, gate.roundTripMilliseconds);
		state.running = running;
		const withdrawal = scheduleWithdrawal(state, running, gate.roundTripMilliseconds);
		const result = await running.result;
		clearTimeout(withdrawal);
		state.running = undefined;
		return result;
	}

	/** Withdraws an attempt that still waits at its gate shortly before the deadline. */
	function scheduleWithdrawal(
		state: CallState,
		running: RunningAttempt,
		roundTripMilliseconds: number,
	): NodeJS.Timeout | undefined {
		const {withdraw} = running;
		if (withdraw === undefined || state.mayHaveRun) {
			return undefined;
		}

		const lead =
			withdrawalLeadMilliseconds + withdrawalRoundTrips * roundTripMilliseconds;
		const remaining = state.call.deadlineAt - now();
		return setTimeout(
			() => {
				void withdraw().then(isNotRun => {
					// By now another gate may have the call, about which this answer says nothing.
					if (isNotRun && !state.finished && state.running === running) {
						running.cancel();
						state.refusal = createDeadlineRefusal();
						finishWithoutResponse(state);
					}
				});
			},
			Math.max(0, remaining - lead),
		);
	}

	function decide(state: CallState, result: AttemptResult): RelayStep {
		recordResult(state, result);
		recordForQuarantine(state.call, result);
		const {call} = state;
		const step = decideRelayStep(result, {
			idempotent: call.idempotent,
			replayable: isBuffered(call.body),
			serverAttempts: state.serverAttempts,
			maximumAttempts: call.maximumAttempts,
			offers: state.offers,
			refusalsInRow: state.refusalsInRow,
			remainingMilliseconds: call.deadlineAt - now(),
		});
		if (step !== relaySteps.answer) {
			log.info('attempt ended', {
				request: call.requestId,
				result: describeResult(result),
				arrivals: state.serverAttempts,
				remainingMilliseconds: Math.round(call.deadlineAt - now()),
				step,
			});
		}

		return step;
	}

	function recordForQuarantine(call: RelayCall, result: AttemptResult): void {
		if (result.kind === attemptResultKinds.answered && isBuffered(result.body)) {
			options.quarantine.recordAnswer(call);
		}

		const crash = findReportedCrash(result);
		if (crash) {
			options.quarantine.recordReport(call, crash);
		}
	}

	function logPlacement(state: CallState, gates: readonly ScoredGate[]): void {
		log.info('call placed', {
			request: state.call.requestId,
			service: state.call.service,
			targetMilliseconds: Math.round(state.call.targetAt - now()),
			distance: gates[0]?.distance,
			...describeLeaving(gates[0]),
			gates: gates.map(
				({
					nodeId,
					score,
					expectedResponseMilliseconds,
					report,
					reportAgeMilliseconds,
				}) => [
					nodeId,
					Number(score.toFixed(2)),
					Math.round(expectedResponseMilliseconds),
					Math.round(report?.waitMilliseconds ?? -1),
					Math.round(reportAgeMilliseconds),
				],
			),
		});
	}

	function finishWithoutResponse(state: CallState): void {
		if (state.failure) {
			finish(state, state.failure);
			return;
		}

		const outcome = state.mayHaveRun ? outcomes.unknown : outcomes.notRun;
		const refusal = state.mayHaveRun
			? createRefusal(
					refusalKinds.serverFailed,
					'the connection to the server was lost: idempotent requests may be retried',
				)
			: (replaceCancelled(state.refusal) ??
				createNoServerRefusal(state.call, now(), options.random()));
		finish(state, {kind: attemptResultKinds.refused, refusal, outcome, load: undefined});
	}

	return call => {
		let settle!: (result: AttemptResult) => void;
		const result = new Promise<AttemptResult>(resolve => {
			settle = resolve;
		});
		const state = createState(call, settle);
		const timer = setTimeout(() => {
			handleDeadline(state);
		}, call.deadlineAt - now());
		void result.then(() => {
			clearTimeout(timer);
		});
		void runAttempts(state);
		return {
			result,
			cancel() {
				state.running?.cancel();
				finish(state, {kind: attemptResultKinds.lost, message: 'cancelled'});
			},
		};
	};

	/** The deadline covers streamed bodies too: the route's timeout limits how long a caller waits. */
	function handleDeadline(state: CallState): void {
		const mayHaveRun = state.mayHaveRun || state.running !== undefined;
		state.running?.cancel();
		if (state.failure) {
			finish(state, state.failure);
			return;
		}

		finish(state, {
			kind: attemptResultKinds.refused,
			refusal: createDeadlineRefusal(),
			outcome: mayHaveRun ? outcomes.unknown : outcomes.notRun,
			load: undefined,
		});
	}
}

function createState(
	call: RelayCall,
	settle: (result: AttemptResult) => void,
): CallState {
	return {
		call,
		settle,
		excluded: new Set(),
		serverAttempts: 0,
		offers: 0,
		refusalsInRow: 0,
		mayHaveRun: false,
		failure: undefined,
		refusal: undefined,
		running: undefined,
		finished: false,
	};
}

function recordResult(state: CallState, result: AttemptResult): void {
	if (reachedServer(result)) {
		state.serverAttempts += 1;
		state.refusalsInRow = 0;
	} else {
		state.refusalsInRow += 1;
	}

	if (result.kind === attemptResultKinds.answered) {
		state.mayHaveRun = true;
		state.failure = result;
		return;
	}

	if (result.kind === attemptResultKinds.refused) {
		state.refusal = result.refusal;
		state.mayHaveRun ||= result.outcome !== outcomes.notRun;
		return;
	}

	state.mayHaveRun = true;
}

function createDeadlineRefusal(): Refusal {
	return createRefusal(
		refusalKinds.deadlineExceeded,
		'no response came before the deadline: allow more time, or try again later',
	);
}

/** A gate says `cancelled` where the ingress withdrew the attempt before the deadline. */
function replaceCancelled(refusal: Refusal | undefined): Refusal | undefined {
	return refusal?.kind === refusalKinds.cancelled ? createDeadlineRefusal() : refusal;
}

function createNoServerRefusal(call: RelayCall, now: number, random: number): Refusal {
	const pause = call.targetMilliseconds * noServerRetryShare;
	return createRefusal(
		refusalKinds.noServer,
		`no server of ${call.service} accepts the request: try again after the stated pause`,
		chooseRetryAfter(pause, call.deadlineAt - now, random),
	);
}

/** Lists why a call leaves its failure domain or stays; nothing if a near gate takes it at once. */
function describeLeaving(best: ScoredGate | undefined): Record<string, unknown> {
	if (best?.leaving === undefined) {
		return {};
	}

	const {reason, gain, share} = best.leaving;
	return {
		leaving: reason,
		gain: Number(gain.toFixed(2)),
		share: Number(share.toFixed(2)),
	};
}

function describeResult(result: AttemptResult): string {
	switch (result.kind) {
		case attemptResultKinds.answered: {
			return `status ${result.status}`;
		}

		case attemptResultKinds.refused: {
			return `${result.refusal.kind}, ${result.outcome}`;
		}

		case attemptResultKinds.lost: {
			return `lost: ${result.message}`;
		}
	}
}
