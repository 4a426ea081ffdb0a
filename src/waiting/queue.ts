/**
 * The gate's queue: decides which requests start, wait or are refused. A request is refused only
 * when no response would reach the caller in time, and as soon as that is known. The functions
 * change the state in place; each request offered is settled exactly once: by a start, a refusal
 * or a withdrawal.
 *
 * Load pattern: more requests than the server can take, of several ranks and routes, some of which
 * can no longer meet their latency target.
 */
import {estimateRateDelay, updateColdLimit} from './cold-server.js';
import {chooseLimit, recordSample} from './concurrency-limit.js';
import {
	compareRequests,
	requiredDurationShare,
	type GateRequest,
} from './gate-request.js';
import type {QueueState, RunningRequest} from './queue-state.js';
import {
	currentSlowdown,
	estimateDeferral,
	estimateDuration,
	estimateNominalDuration,
	isSpeedStale,
	needsReportForEstimate,
	recordDuration,
	shouldDefer,
} from './server-speed.js';
import {mayStart, recordStart} from './start-rate.js';

/** Mean duration assumed before any was measured, in milliseconds. */
const defaultDurationMilliseconds = 100;

export const offerOutcomes = {
	/** It waits until `assignSlots` starts it. */
	queued: 'queued',
	/** No response would come in time. */
	tooLate: 'too-late',
} as const;

export type OfferOutcome = (typeof offerOutcomes)[keyof typeof offerOutcomes];

/** Whether a request is queued, with the estimates for it. */
export type OfferResult = {
	readonly outcome: OfferOutcome;
	readonly waitMilliseconds: number;
	readonly durationMilliseconds: number;
};

/** What follows when a slot becomes free, or when the server has reported its speed. */
export type SlotAssignment = {
	/** Ids of the requests that start now. */
	readonly started: readonly string[];
	/** Ids of waiting requests that no longer have time. */
	readonly tooLate: readonly string[];
	/** Whether requests wait only for a fresh report of the server's speed. */
	readonly needsSpeedReport: boolean;
	/** Whether requests are deferred until the server is faster. */
	readonly isDeferring: boolean;
};

/** How a request ended at the server. */
export type RequestEnd = {
	/** Whether it was answered in full, so that its duration shows the server's speed. */
	readonly isComplete: boolean;
};

/**
 * Offers a request to the gate.
 *
 * @param state changed in place
 * @param request the request
 * @param now monotonic time in milliseconds
 * @returns whether it is queued or refused, with the estimates for it
 */
export function offerRequest(
	state: QueueState,
	request: GateRequest,
	now: number,
): OfferResult {
	const durationMilliseconds = estimateServiceTime(state, request, now);
	const waitMilliseconds = estimateWait(state, request, now);
	const estimates = {waitMilliseconds, durationMilliseconds};
	const nominal = estimateNominal(state, request, now);
	const finishAt = now + waitMilliseconds + nominal * requiredDurationShare;
	if (
		finishAt > request.deadlineAt ||
		wouldExpire(state, request, waitMilliseconds, now)
	) {
		return {outcome: offerOutcomes.tooLate, ...estimates};
	}

	state.waiting.set(request.id, request);
	return {outcome: offerOutcomes.queued, ...estimates};
}

/**
 * Tells whether a request would wait in vain: it would not start before its target, and starts after
 * all that can still meet theirs. Where requests run out of time while they wait, so would this one.
 */
function wouldExpire(
	state: QueueState,
	request: GateRequest,
	waitMilliseconds: number,
	now: number,
): boolean {
	const remaining = request.deadlineAt - now;
	return (
		!request.nested &&
		now + waitMilliseconds > request.targetAt &&
		now - state.lastExpiryAt < remaining
	);
}

/**
 * Ends a request that had started and assigns its slot to a waiting one.
 *
 * @param state changed in place
 * @param id the request
 * @param end how it ended
 * @param now monotonic time in milliseconds
 * @returns the requests that start and those that are too late
 */
export function finishRequest(
	state: QueueState,
	id: string,
	end: RequestEnd,
	now: number,
): SlotAssignment {
	const ended = state.running.get(id);
	if (ended && end.isComplete) {
		recordCompletion(state, ended, now);
	}

	state.running.delete(id);
	return assignSlots(state, now);
}

/**
 * Withdraws a request that may still wait.
 *
 * @param state changed in place
 * @param id the request
 * @returns whether it was waiting; if so, it never starts
 */
export function withdrawRequest(state: QueueState, id: string): boolean {
	return state.waiting.delete(id);
}

/**
 * Sets the slots that the server announces.
 *
 * @param state changed in place
 * @param slots concurrent requests that it accepts; zero when it takes no new ones
 * @param now monotonic time in milliseconds
 * @returns the requests that start and those that are too late
 */
export function changeSlots(
	state: QueueState,
	slots: number,
	now: number,
): SlotAssignment {
	state.slots = slots;
	return assignSlots(state, now);
}

/**
 * Assigns every free slot to a waiting request, and drops the requests that no longer have time.
 *
 * @param state changed in place
 * @param now monotonic time in milliseconds
 * @returns the requests that start and those that are too late
 */
export function assignSlots(state: QueueState, now: number): SlotAssignment {
	updateLimit(state, now);
	updateColdLimit(state, now);
	const tooLate = dropTooLate(state, now);
	const started: string[] = [];
	let isDeferring = false;
	while (
		state.running.size < state.limit &&
		state.waiting.size > 0 &&
		mayStart(state.startRate, now)
	) {
		if (isSpeedStale(state.speed, now)) {
			return {started, tooLate, needsSpeedReport: true, isDeferring};
		}

		const next = findNext(state, now);
		if (next === undefined) {
			isDeferring = true;
			break;
		}

		const isAlone = next.mustRunAlone?.() ?? false;
		// The requests behind it wait too, or the server would never be free of others.
		if (isAlone && state.running.size > 0) {
			break;
		}

		state.waiting.delete(next.id);
		start(state, next, isAlone, now);
		started.push(next.id);
		updateLimit(state, now);
	}

	return {started, tooLate, needsSpeedReport: false, isDeferring};
}

/**
 * Tells whether the server should be asked for its speed before a request is estimated.
 *
 * @param state the gate's queue
 * @param now monotonic time in milliseconds
 * @returns whether what is known of its speed is too old
 */
export function needsSpeedForEstimate(state: QueueState, now: number): boolean {
	const startsAtOnce =
		state.running.size + state.waiting.size < state.limit &&
		mayStart(state.startRate, now);
	return needsReportForEstimate(state.speed, startsAtOnce, now);
}

/**
 * Estimates how long a request would wait if it came now: for a slot, for the rate that the server
 * takes, or deferred in a slow period of the server.
 *
 * @param state the gate's queue
 * @param request the request
 * @param now monotonic time in milliseconds
 * @returns milliseconds; zero when it would start at once
 */
export function estimateWait(
	state: QueueState,
	request: Pick<GateRequest, 'rank' | 'nested' | 'route' | 'targetMilliseconds'>,
	now: number,
): number {
	const deferral = estimateDeferral(
		state.speed,
		estimateNominal(state, request, now),
		now,
	);
	const ahead = countAhead(state, request);
	updateColdLimit(state, now);
	const startDelay = estimateRateDelay(state, ahead, now);
	return Math.max(deferral, startDelay, estimateSlotWait(state, ahead));
}

/** Counts the waiting requests that start before one that comes now. */
function countAhead(
	state: QueueState,
	request: Pick<GateRequest, 'rank' | 'nested'>,
): number {
	let ahead = 0;
	for (const other of state.waiting.values()) {
		const goesFirst = other.nested || (!request.nested && other.rank <= request.rank);
		ahead += goesFirst ? 1 : 0;
	}

	return ahead;
}

function estimateSlotWait(state: QueueState, ahead: number): number {
	if (state.limit <= 0) {
		return Number.POSITIVE_INFINITY;
	}

	const free = state.limit - state.running.size - ahead;
	if (free > 0) {
		return 0;
	}

	const mean = state.speed.meanDuration ?? defaultDurationMilliseconds;
	return ((1 - free) * mean) / state.limit;
}

/**
 * Estimates how long the server takes for a request once it has a slot.
 *
 * @param state the gate's queue
 * @param request the request
 * @param now monotonic time in milliseconds
 * @returns milliseconds
 */
export function estimateServiceTime(
	state: QueueState,
	request: Pick<GateRequest, 'route' | 'targetMilliseconds'>,
	now: number,
): number {
	return estimateDuration(state.speed, estimateNominal(state, request, now), now);
}

function estimateNominal(
	state: QueueState,
	request: Pick<GateRequest, 'route' | 'targetMilliseconds'>,
	now: number,
): number {
	return estimateNominalDuration(
		state.speed,
		request.route,
		request.targetMilliseconds,
		now,
	);
}

function updateLimit(state: QueueState, now: number): void {
	const isOccupied = [...state.running.values()].some(({isAlone}) => isAlone);
	state.limit = isOccupied
		? Math.min(1, state.slots)
		: chooseLimit(state.concurrency, state.slots, now);
}

function start(
	state: QueueState,
	request: GateRequest,
	isAlone: boolean,
	now: number,
): void {
	recordStart(state.startRate, now);
	state.running.set(request.id, {
		request,
		startedAt: now,
		runningAtStart: state.running.size + 1,
		slowdownAtStart: currentSlowdown(state.speed, now),
		isAlone,
	});
}

function recordCompletion(state: QueueState, ended: RunningRequest, now: number): void {
	const duration = now - ended.startedAt;
	const {route} = ended.request;
	recordDuration(state.speed, route, duration, ended.slowdownAtStart);
	const sample = {
		route,
		duration,
		slowdown: ended.slowdownAtStart,
		running: ended.runningAtStart,
	};
	recordSample(state.concurrency, sample, state.slots, now);
}

function dropTooLate(state: QueueState, now: number): string[] {
	const tooLate: string[] = [];
	for (const request of state.waiting.values()) {
		if (
			now + estimateNominal(state, request, now) * requiredDurationShare >
			request.deadlineAt
		) {
			state.waiting.delete(request.id);
			state.lastExpiryAt = now;
			tooLate.push(request.id);
		}
	}

	return tooLate;
}

/** Finds the first request in queue order that should not be deferred. */
function findNext(state: QueueState, now: number): GateRequest | undefined {
	const isOnTime = (request: GateRequest): boolean =>
		now + estimateServiceTime(state, request, now) <= request.targetAt;
	let next: GateRequest | undefined;
	for (const request of state.waiting.values()) {
		if (shouldDefer(state.speed, estimateNominal(state, request, now), now)) {
			continue;
		}

		if (next === undefined || compareRequests(request, next, isOnTime) < 0) {
			next = request;
		}
	}

	return next;
}
