/** The state of a gate's queue: what runs, what waits and what was learned of the server. */
import {createConcurrencyProfile, type ConcurrencyProfile} from './concurrency-limit.js';
import type {GateRequest} from './gate-request.js';
import {createServerSpeed, type ServerSpeed} from './server-speed.js';
import {createStartRate, type StartRate} from './start-rate.js';

export type RunningRequest = {
	readonly request: GateRequest;
	/** Monotonic time in milliseconds. */
	readonly startedAt: number;
	/** Requests that ran when it started, itself included. */
	readonly runningAtStart: number;
	readonly slowdownAtStart: number;
	/** Whether nothing else starts while it runs. */
	readonly isAlone: boolean;
};

export type QueueState = {
	/** Slots that the server announced; zero while it takes no new requests. */
	slots: number;
	/** Requests that may run concurrently now. */
	limit: number;
	readonly running: Map<string, RunningRequest>;
	readonly waiting: Map<string, GateRequest>;
	readonly speed: ServerSpeed;
	readonly startRate: StartRate;
	readonly concurrency: ConcurrencyProfile;
	/** Monotonic time at which the time of a waiting request last ran out, in milliseconds. */
	lastExpiryAt: number;
};

/**
 * @param slots concurrent requests that the server accepts
 * @returns a queue with nothing running and nothing waiting
 */
export function createQueue(slots: number): QueueState {
	return {
		slots,
		limit: slots,
		running: new Map(),
		waiting: new Map(),
		speed: createServerSpeed(),
		startRate: createStartRate(),
		concurrency: createConcurrencyProfile(),
		lastExpiryAt: Number.NEGATIVE_INFINITY,
	};
}
