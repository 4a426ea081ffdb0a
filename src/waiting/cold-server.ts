/**
 * Keeps the starts at a cold server to what it bears. A server states for how long it stays cold, and
 * may turn cold at any moment without a restart. The limit itself is part of the start rate.
 *
 * Load pattern: the full load returns to a whole failure domain whose servers are cold, and each of
 * them fails well above the rate that it bears.
 */
import {
	compareRequests,
	requiredDurationShare,
	type GateRequest,
} from './gate-request.js';
import type {QueueState} from './queue-state.js';
import {estimateNominalDuration} from './server-speed.js';
import {changeColdLimit, estimateStartDelay} from './start-rate.js';

type ColdState = Pick<QueueState, 'speed' | 'startRate'>;

/** A waiting request that can no longer start in time. */
export type HopelessRequest = {
	readonly request: GateRequest;
	/** How long it would wait. */
	readonly waitMilliseconds: number;
};

/** A statement that the server is cold. */
export type ColdStatement = {
	/** How long it stays cold; zero if it is warm. */
	readonly milliseconds: number;
	/** Whether it may have been made earlier, so that it only prolongs what is known. */
	readonly mayBeLate: boolean;
};

/**
 * Records for how long the server stays cold.
 *
 * @param state changed in place
 * @param statement what the server stated
 * @param now monotonic time in milliseconds
 */
export function recordCold(
	state: ColdState,
	{milliseconds, mayBeLate}: ColdStatement,
	now: number,
): void {
	const {speed} = state;
	const until = now + milliseconds;
	speed.coldUntil = mayBeLate ? Math.max(speed.coldUntil, until) : until;
	updateColdLimit(state, now);
}

/**
 * Applies or lifts the limit of a cold server, as time has passed.
 *
 * @param state changed in place
 * @param now monotonic time in milliseconds
 */
export function updateColdLimit({speed, startRate}: ColdState, now: number): void {
	changeColdLimit(startRate, {isCold: now < speed.coldUntil}, now);
}

/**
 * Estimates when the limits on the rate allow a request to start. The limit of a cold server ends with
 * the time for which it stays cold.
 *
 * @param state the start rate, and until when the server is cold
 * @param ahead requests that start before it
 * @param now monotonic time in milliseconds
 * @returns milliseconds from now
 */
export function estimateRateDelay(
	{speed, startRate}: ColdState,
	ahead: number,
	now: number,
): number {
	const delay = estimateStartDelay(startRate, ahead, now);
	const isLimitedOnlyByCold =
		startRate.namedRequestsPerSecond === Number.POSITIVE_INFINITY;
	return isLimitedOnlyByCold
		? Math.min(delay, Math.max(0, speed.coldUntil - now))
		: delay;
}

/**
 * Finds the waiting requests that can no longer start in time, after the limits on the rate have become
 * lower, so that they are refused at once.
 *
 * @param state the waiting requests, the start rate and the server's speed
 * @param now monotonic time in milliseconds
 * @returns the requests, with how long each would wait
 */
export function findHopeless(
	state: ColdState & Pick<QueueState, 'waiting'>,
	now: number,
): HopelessRequest[] {
	const hopeless: HopelessRequest[] = [];
	const ordered = [...state.waiting.values()].toSorted((left, right) =>
		compareRequests(left, right, () => true),
	);
	let ahead = 0;
	for (const request of ordered) {
		const {route, targetMilliseconds} = request;
		const waitMilliseconds = estimateRateDelay(state, ahead, now);
		const nominal = estimateNominalDuration(state.speed, route, targetMilliseconds, now);
		const finishAt = now + waitMilliseconds + nominal * requiredDurationShare;
		if (finishAt > request.deadlineAt) {
			hopeless.push({request, waitMilliseconds});
		} else {
			ahead += 1;
		}
	}

	return hopeless;
}
