/**
 * Runs an experiment in an open loop: requests are sent on schedule, regardless of response times.
 */
import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Experiment} from './experiment.js';
import {createRecorder, type Recorder, type StreamSummary} from './recorder.js';
import {scheduleArrivals, type Arrival} from './schedule.js';
import {sendLoadRequest} from './sender.js';

const tickMilliseconds = 1;
const millisecondsPerSecond = 1000;

/** Results of an experiment. */
export type RunReport = {
	readonly experiment: Experiment;
	/** Wall-clock time of the start, in ISO 8601. */
	readonly startedAt: string;
	/** Time from the start to the end of the last request. */
	readonly elapsedSeconds: number;
	/** Maximum delay in the tool itself between a request's scheduled and actual sending. */
	readonly worstSendDelayMilliseconds: number;
	readonly streams: readonly StreamSummary[];
};

type Target = {readonly host: string; readonly port: number; readonly agent: Agent};

type RunState = {
	readonly experiment: Experiment;
	readonly targets: readonly Target[];
	readonly recorders: readonly Recorder[];
	readonly startedAt: number;
	readonly pending: Set<Promise<void>>;
	/** Prefix of the request ids, so that no two runs share an idempotency key. */
	readonly runName: string;
	nextTarget: number;
	worstSendDelay: number;
};

/**
 * Runs an experiment.
 *
 * @param experiment the experiment
 * @param signal aborted to stop sending requests before the scheduled end
 * @returns the results
 */
export async function runExperiment(
	experiment: Experiment,
	signal?: AbortSignal,
): Promise<RunReport> {
	const startDate = new Date();
	const state: RunState = {
		experiment,
		targets: experiment.targets.map(target =>
			createTarget(target, experiment.maximumInFlight),
		),
		recorders: experiment.streams.map(stream =>
			createRecorder(stream.name, stream.deadlineMilliseconds),
		),
		startedAt: performance.now(),
		pending: new Set(),
		runName: `${experiment.name}-${startDate.getTime().toString(36)}`,
		nextTarget: 0,
		worstSendDelay: 0,
	};
	await sendAll(state, signal);
	await Promise.all(state.pending);
	for (const target of state.targets) {
		target.agent.destroy();
	}

	return {
		experiment,
		startedAt: startDate.toISOString(),
		elapsedSeconds: (performance.now() - state.startedAt) / millisecondsPerSecond,
		worstSendDelayMilliseconds: state.worstSendDelay,
		streams: state.recorders.map(recorder => recorder.summarize()),
	};
}

function createTarget(address: string, maximumSockets: number): Target {
	const separator = address.lastIndexOf(':');
	return {
		host: address.slice(0, separator).replaceAll(/^\[|\]$/gv, ''),
		port: Number(address.slice(separator + 1)),
		agent: new Agent({keepAlive: true, maxSockets: maximumSockets}),
	};
}

async function sendAll(state: RunState, signal?: AbortSignal): Promise<void> {
	for (const arrival of scheduleArrivals(state.experiment)) {
		while (arrival.at > performance.now() - state.startedAt) {
			if (signal?.aborted === true) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- Requests are sent in order of time.
			await sleep(tickMilliseconds);
		}

		dispatch(state, arrival);
	}
}

function dispatch(state: RunState, arrival: Arrival): void {
	const {experiment, pending} = state;
	const isRecorded = arrival.at >= experiment.warmUpSeconds * millisecondsPerSecond;
	const recorder = state.recorders[arrival.stream]!;
	if (pending.size >= experiment.maximumInFlight) {
		recorder.countSkipped();
		return;
	}

	if (isRecorded) {
		recorder.countSent();
		const delay = performance.now() - state.startedAt - arrival.at;
		state.worstSendDelay = Math.max(state.worstSendDelay, delay);
	}

	const request = sendAndRecord(state, arrival, isRecorded ? recorder : undefined);
	pending.add(request);
	void request.finally(() => {
		pending.delete(request);
	});
}

async function sendAndRecord(
	state: RunState,
	arrival: Arrival,
	recorder: Recorder | undefined,
): Promise<void> {
	const stream = state.experiment.streams[arrival.stream]!;
	const target = state.targets[state.nextTarget % state.targets.length]!;
	state.nextTarget += 1;
	const result = await sendLoadRequest({
		...target,
		stream,
		requestId: `${state.runName}-${arrival.stream}-${arrival.number}`,
		caller: `${stream.name}-${arrival.number % stream.callers}`,
	});
	recorder?.record({
		...result,
		intendedAt: arrival.at,
		endedAt: performance.now() - state.startedAt,
	});
}
