/**
 * The state of a gate's admission: running and waiting requests, and the credit of each rank. Each
 * gate owns one state; the functions in this folder change it in place.
 */
import {createConcurrencyLimit, type ConcurrencyLimit} from './concurrency-limit.js';
import {type GatePolicy} from './policy.js';
import {createRankQueue, type RankQueue, type WaitingRequest} from './rank-queue.js';

const initialServiceMilliseconds = 10;

/** One rank at a gate. */
export type RankState = {
	readonly name: string;
	readonly floorShare: number;
	readonly queue: RankQueue;
	/** Slot time owed to the rank under its guaranteed share, in units of the mean service time. */
	credit: number;
	/** Moving average of the rank's share of the dispatched slot time, 0 to 1. */
	recentShare: number;
	/** Moving average of the rank's service time. */
	serviceMilliseconds: number;
};

/** A running request. */
export type RunningRequest = {readonly rank: string};

export type AdmissionState = {
	policy: GatePolicy;
	ranks: RankState[];
	readonly concurrency: ConcurrencyLimit;
	readonly running: Map<string, RunningRequest>;
	readonly waiting: Map<string, WaitingRequest>;
	/** Moving average of the service time over all ranks. */
	serviceMilliseconds: number;
};

/**
 * Creates the admission of one gate.
 *
 * @param policy the part of the active preset that a gate needs
 * @param slots concurrent requests that the server accepts, as it announced
 * @returns a state without running or waiting requests
 */
export function createAdmission(policy: GatePolicy, slots: number): AdmissionState {
	return {
		policy,
		ranks: createRankStates(policy),
		concurrency: createConcurrencyLimit(slots),
		running: new Map(),
		waiting: new Map(),
		serviceMilliseconds: initialServiceMilliseconds,
	};
}

/**
 * @param policy the part of a preset that a gate needs
 * @returns a state for each of its ranks, with an empty queue
 */
export function createRankStates(policy: GatePolicy): RankState[] {
	return policy.ranks.map(rank => ({
		name: rank.name,
		floorShare: rank.floorShare,
		queue: createRankQueue(),
		credit: 0,
		recentShare: 0,
		serviceMilliseconds: initialServiceMilliseconds,
	}));
}

/**
 * @param state the gate's admission
 * @returns how many requests may run concurrently now
 */
export function countUsableSlots(state: AdmissionState): number {
	return Math.floor(state.concurrency.limit);
}

/**
 * @param state the gate's admission
 * @returns how many requests may wait at once
 */
export function queueCapacity(state: AdmissionState): number {
	return Math.ceil(state.policy.admission.queuePerSlot * state.concurrency.slots);
}
