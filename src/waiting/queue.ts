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
	createConcurrency,
	learnStretch,
	type Concurrency,
} from './concurrency.js';
import {
	createPace,
	currentSlowdown,
	estimateDuration,
	estimateHold,
	estimateUsual,
	isSpeedStale,
	isWorthHolding,
	learnDuration,
	type Pace,
} from './pace.js';
import {compareWork, type Work} from './work.js';

/** Share of the estimated duration that has to fit before the deadline. */
const smallestFit = 0.6;
/** Mean duration that is reckoned with before any answer was seen, in milliseconds. */
const unseenDurationMilliseconds = 100;

export type RunningWork = {
	readonly work: Work;
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
	readonly running: Map<string, RunningWork>;
	readonly waiting: Map<string, Work>;
	readonly pace: Pace;
	readonly concurrency: Concurrency;
};

export const offerOutcomes = {
	/** It waits; `takeTurns` tells when it starts. */
	queued: 'queued',
	/** No answer would come in time. */
	tooLate: 'too-late',
} as const;

export type OfferOutcome = (typeof offerOutcomes)[keyof typeof offerOutcomes];

/** What an offer came to, with the estimates that decided it. */
export type Offer = {
	readonly outcome: OfferOutcome;
	readonly waitMilliseconds: number;
	readonly durationMilliseconds: number;
};

/** What follows when a slot comes free, or when the server has reported its speed. */
export type Turn = {
	readonly started: readonly string[];
	/** Waiting requests that no longer have time. */
	readonly late: readonly string[];
	/** Whether work waits only for a fresh report of the server's speed. */
	readonly wantsReport: boolean;
	/** Whether work is held back until the server is faster. */
	readonly holds: boolean;
};

/** How a request ended at the server. */
export type WorkEnd = {
	/** Whether it was answered in full, so that its time tells of the server's speed. */
	readonly whole: boolean;
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
		pace: createPace(),
		concurrency: createConcurrency(),
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
export function offerWork(state: QueueState, work: Work, now: number): Offer {
	const durationMilliseconds = estimateWork(state, work, now);
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
export function endWork(state: QueueState, id: string, end: WorkEnd, now: number): Turn {
	const ended = state.running.get(id);
	if (ended && end.whole) {
		learn(state, ended, now);
	}

	state.running.delete(id);
	return takeTurns(state, now);
}

/**
 * Withdraws a request that may still wait.
 *
 * @param state changed in place
 * @param id the request
 * @returns whether it waited, so that it never starts
 */
export function withdrawWork(state: QueueState, id: string): boolean {
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
export function changeSlots(state: QueueState, slots: number, now: number): Turn {
	state.slots = slots;
	return takeTurns(state, now);
}

/**
 * Hands every free slot to what waits, and drops what no longer has time.
 *
 * @param state changed in place
 * @param now monotonic time in milliseconds
 * @returns what starts and what is late
 */
export function takeTurns(state: QueueState, now: number): Turn {
	state.limit = chooseLimit(state.concurrency, state.slots, now);
	const late = dropLate(state, now);
	const started: string[] = [];
	let holds = false;
	while (state.running.size < state.limit && state.waiting.size > 0) {
		if (isSpeedStale(state.pace, now)) {
			return {started, late, wantsReport: true, holds};
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

	return {started, late, wantsReport: false, holds};
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
	work: Pick<Work, 'rank' | 'nested' | 'route' | 'targetMilliseconds'>,
	now: number,
): number {
	const hold = estimateHold(state.pace, estimateUsualOf(state, work, now), now);
	return Math.max(hold, estimateSlotWait(state, work));
}

function estimateSlotWait(
	state: QueueState,
	work: Pick<Work, 'rank' | 'nested'>,
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

	const mean = state.pace.meanDuration ?? unseenDurationMilliseconds;
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
export function estimateWork(
	state: QueueState,
	work: Pick<Work, 'route' | 'targetMilliseconds'>,
	now: number,
): number {
	return estimateDuration(state.pace, estimateUsualOf(state, work, now), now);
}

function estimateUsualOf(
	state: QueueState,
	work: Pick<Work, 'route' | 'targetMilliseconds'>,
	now: number,
): number {
	return estimateUsual(state.pace, work.route, work.targetMilliseconds, now);
}

function start(state: QueueState, work: Work, now: number): void {
	state.running.set(work.id, {
		work,
		startedAt: now,
		runningAtStart: state.running.size + 1,
		slowdownAtStart: currentSlowdown(state.pace, now),
	});
}

function learn(state: QueueState, ended: RunningWork, now: number): void {
	const duration = now - ended.startedAt;
	const {route} = ended.work;
	learnDuration(state.pace, route, duration, ended.slowdownAtStart);
	const sample = {
		route,
		duration,
		slowdown: ended.slowdownAtStart,
		running: ended.runningAtStart,
	};
	learnStretch(state.concurrency, sample, state.slots, now);
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
function findNext(state: QueueState, now: number): Work | undefined {
	const isOnTime = (work: Work): boolean =>
		now + estimateWork(state, work, now) <= work.targetAt;
	let next: Work | undefined;
	for (const work of state.waiting.values()) {
		if (isWorthHolding(state.pace, estimateUsualOf(state, work, now), now)) {
			continue;
		}

		if (next === undefined || compareWork(work, next, isOnTime) < 0) {
			next = work;
		}
	}

	return next;
}
