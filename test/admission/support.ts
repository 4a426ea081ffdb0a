/** Helpers of the admission tests: a policy, requests and a flood. */
import {
	offer,
	release,
	type AdmissionRequest,
	type AdmissionState,
	type GatePolicy,
} from '../../src/admission/index.js';

export const policy: GatePolicy = {
	ranks: [
		{name: 'urgent', floorShare: 0},
		{name: 'normal', floorShare: 0.2},
		{name: 'idle', floorShare: 0.1},
	],
	admission: {queuePerSlot: 4, fairness: true},
};

export function request(
	id: string,
	rank: string,
	options: {caller?: string; deadlineAt?: number} = {},
): AdmissionRequest {
	return {
		id,
		rank,
		caller: options.caller ?? 'caller',
		deadlineAt: options.deadlineAt ?? Number.POSITIVE_INFINITY,
	};
}

/**
 * Keeps the queue of every named rank filled while the gate serves `rounds` requests.
 *
 * @returns served requests by rank
 */
export function serveFlood(
	state: AdmissionState,
	ranks: readonly string[],
	rounds: number,
): Map<string, number> {
	const served = new Map<string, number>();
	let sequence = 0;
	for (let now = 0; now < rounds; now += 1) {
		for (const rank of ranks) {
			for (let copy = 0; copy < 3; copy += 1) {
				sequence += 1;
				offer(state, request(`${sequence}`, rank, {caller: `caller ${copy}`}), now);
			}
		}

		const [first] = state.running;
		if (first !== undefined) {
			const [id, {rank}] = first;
			served.set(rank, (served.get(rank) ?? 0) + 1);
			release(state, id, {serviceMilliseconds: 10}, now);
		}
	}

	return served;
}
