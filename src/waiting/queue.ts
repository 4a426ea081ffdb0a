/**
 * The gate's decisions about slots and queue: which request starts, which waits, which yields and
 * which is refused. Requests are refused only when no answer would reach the caller in time, at
 * once when that is known. The functions change the state in place; each request offered is
 * answered exactly once: by a start, a refusal or a withdrawal.
 *
 * Load pattern: more work than the server can take, of several ranks and kinds, part of which is
 * already too late for its target.
 */
import {
	chooseLimit,
	createConcurrencyProfile,
	recordSample,
	type ConcurrencyProfile,
} from './concurrency-limit.js';
import {
	createServerSpeed,
	currentSlowdown,
	estimateDuration,
	estimateDeferral,
	estimateNominalDuration,
	isSpeedStale,
	shouldDefer,
	recordDuration,
	type ServerSpeed,
} from './server-speed.js';
import {compareRequests, type GateRequest} from './gate-request.js';

/** Share of the estimated duration that has to fit before the deadline. */
const smallestFit = 0.6;
/** Mean duration that is reckoned with before any answer was seen, in milliseconds. */
const unseenDurationMilliseconds = 100;

export type RunningRequest = {
	readonly request: GateRequest;
	/** Monotonic milliseconds. */
	readonly startedAt: number;
	/** Requests that ran when it started, itself included. */
	readonly runningAtStart: number;
	readonly slowdownAtStart: number;
};

export type QueueState = {
	/** Requests that the server announced to run at once; zero takes no new work. */
	slots: number;
	/** Requests that may run at once now. */
	limit: number;
	readonly running: Map<string, RunningRequest>;
	readonly waiting: Map<string, GateRequest>;
	readonly speed: ServerSpeed;
	readonly concurrency: ConcurrencyProfile;
};

export const offerOutcomes = {
	/** It waits; `takeTurns` tells when it starts. */
	queued: 'queued',
	/** No answer would come in time. */
	tooLate: 'too-late',
} as const;

export type OfferOutcome = (typeof offerOutcomes)[keyof typeof offerOutcomes];

/** What an offer came to, with the estimates that decided it. */
export type OfferResult = {
	readonly outcome: OfferOutcome;
	readonly waitMilliseconds: number;
	readonly durationMilliseconds: number;
};

/** What follows when a slot comes free, or when the server has reported its speed. */
export type SlotAssignment = {
	readonly started: readonly string[];
	/** Waiting requests that no longer have time. */
	readonly tooLate: readonly string[];
	/** Whether work waits only for a fresh report of the server's speed. */
	readonly needsSpeedReport: boolean;
	/** Whether work is held back until the server is faster. */
	readonly isDeferring: boolean;
};

/** How a request ended at the server. */
export type RequestEnd = {
	/** Whether it was answered in full, so that its time tells of the server's speed. */
	readonly isComplete: boolean;
};

/**
 * @param slots requests that the server runs at once
 * @returns a queue with nothing running and nothing waiting
 */
export function createQueue(slots: number): QueueState {
	return {
		slots,
		limit: slots,
		running: new Map(),
		waiting: new Map(),
		speed: createServerSpeed(),
		concurrency: createConcurrencyProfile(),
	};
}

/**
 * Offers a request to the gate.
 *
 * @param state changed in place
 * @param work the request
 * @param now monotonic time in milliseconds
 * @returns whether it waits for its turn or is refused
 */
export function offerRequest(
	state: QueueState,
	work: GateRequest,
	now: number,
): OfferResult {
	const durationMilliseconds = estimateServiceTime(state, work, now);
	const waitMilliseconds = estimateWait(state, work, now);
	const estimates = {waitMilliseconds, durationMilliseconds};
	const usual = estimateUsualOf(state, work, now);
	const finishAt = now + waitMilliseconds + usual * smallestFit;
	if (finishAt > work.deadlineAt) {
		return {outcome: offerOutcomes.tooLate, ...estimates};
	}

	state.waiting.set(work.id, work);
	return {outcome: offerOutcomes.queued, ...estimates};
}

/**
 * Ends a request that had started and hands its slot on.
 *
 * @param state changed in place
 * @param id the request
 * @param end how it ended
 * @param now monotonic time in milliseconds
 * @returns what starts and what is late
 */
export function finishRequest(
	state: QueueState,
	id: string,
	end: RequestEnd,
	now: number,
): SlotAssignment {
	const ended = state.running.get(id);
	if (ended && end.isComplete) {
		learn(state, ended, now);
	}

	state.running.delete(id);
	return assignSlots(state, now);
}

/**
 * Withdraws a request that may still wait.
 *
 * @param state changed in place
 * @param id the request
 * @returns whether it waited, so that it never starts
 */
export function withdrawRequest(state: QueueState, id: string): boolean {
	return state.waiting.delete(id);
}

/**
 * Takes over the slots that the server announces.
 *
 * @param state changed in place
 * @param slots requests that it runs at once; zero when it takes no new work
 * @param now monotonic time in milliseconds
 * @returns what starts and what is late
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
 * Hands every free slot to what waits, and drops what no longer has time.
 *
 * @param state changed in place
 * @param now monotonic time in milliseconds
 * @returns what starts and what is late
 */
export function assignSlots(state: QueueState, now: number): SlotAssignment {
	state.limit = chooseLimit(state.concurrency, state.slots, now);
	const late = dropLate(state, now);
	const started: string[] = [];
	let holds = false;
	while (state.running.size < state.limit && state.waiting.size > 0) {
		if (isSpeedStale(state.speed, now)) {
			return {started, tooLate: late, needsSpeedReport: true, isDeferring: holds};
		}

		const next = findNext(state, now);
		if (next === undefined) {
			holds = true;
			break;
		}

		state.waiting.delete(next.id);
		start(state, next, now);
		started.push(next.id);
	}

	return {started, tooLate: late, needsSpeedReport: false, isDeferring: holds};
}

/**
 * Estimates how long a request would wait if it came now: for a slot, or held back in a slow
 * piece of the server.
 *
 * @param state the gate's queue
 * @param work the request
 * @param now monotonic time in milliseconds
 * @returns milliseconds; zero when it would start at once
 */
export function estimateWait(
	state: QueueState,
	work: Pick<GateRequest, 'rank' | 'nested' | 'route' | 'targetMilliseconds'>,
	now: number,
): number {
	const hold = estimateDeferral(state.speed, estimateUsualOf(state, work, now), now);
	return Math.max(hold, estimateSlotWait(state, work));
}

function estimateSlotWait(
	state: QueueState,
	work: Pick<GateRequest, 'rank' | 'nested'>,
): number {
	if (state.limit <= 0) {
		return Number.POSITIVE_INFINITY;
	}

	let ahead = 0;
	for (const other of state.waiting.values()) {
		const goesFirst = other.nested || (!work.nested && other.rank <= work.rank);
		ahead += goesFirst ? 1 : 0;
	}

	const free = state.limit - state.running.size - ahead;
	if (free > 0) {
		return 0;
	}

	const mean = state.speed.meanDuration ?? unseenDurationMilliseconds;
	return ((1 - free) * mean) / state.limit;
}

/**
 * Estimates how long the server takes for a request that has its slot.
 *
 * @param state the gate's queue
 * @param work the request
 * @param now monotonic time in milliseconds
 * @returns milliseconds
 */
export function estimateServiceTime(
	state: QueueState,
	work: Pick<GateRequest, 'route' | 'targetMilliseconds'>,
	now: number,
): number {
	return estimateDuration(state.speed, estimateUsualOf(state, work, now), now);
}

function estimateUsualOf(
	state: QueueState,
	work: Pick<GateRequest, 'route' | 'targetMilliseconds'>,
	now: number,
): number {
	return estimateNominalDuration(state.speed, work.route, work.targetMilliseconds, now);
}

function start(state: QueueState, work: GateRequest, now: number): void {
	state.running.set(work.id, {
		request: work,
		startedAt: now,
		runningAtStart: state.running.size + 1,
		slowdownAtStart: currentSlowdown(state.speed, now),
	});
}

function learn(state: QueueState, ended: RunningRequest, now: number): void {
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

function dropLate(state: QueueState, now: number): string[] {
	const late: string[] = [];
	for (const work of state.waiting.values()) {
		if (now + estimateUsualOf(state, work, now) * smallestFit > work.deadlineAt) {
			state.waiting.delete(work.id);
			late.push(work.id);
		}
	}

	return late;
}

/** The first request in order that is not better held back. */
function findNext(state: QueueState, now: number): GateRequest | undefined {
	const isOnTime = (work: GateRequest): boolean =>
		now + estimateServiceTime(state, work, now) <= work.targetAt;
	let next: GateRequest | undefined;
	for (const work of state.waiting.values()) {
		if (shouldDefer(state.speed, estimateUsualOf(state, work, now), now)) {
			continue;
		}

		if (next === undefined || compareRequests(work, next, isOnTime) < 0) {
			next = work;
		}
	}

	return next;
}
