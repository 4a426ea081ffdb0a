/**
 * Faults that the table stand-in injects on request: outages, delays, and lost requests or
 * responses. A loss hits a number of requests, or a share of them drawn from a seeded generator so
 * that a run can be reproduced.
 */
import {
	unsafeUniformIntDistribution,
	xoroshiro128plus,
	type RandomGenerator,
} from 'pure-rand';
import {z} from 'zod';

export const outages = {
	/** The table works. */
	none: 'none',
	/** Every request gets status 503 and has no effect. */
	refuses: 'refuses',
	/** Every connection is closed when its request arrives; the request has no effect. */
	cuts: 'cuts',
	/** No request gets a response or has an effect. */
	hangs: 'hangs',
} as const;

const lossSchema = z.strictObject({
	/** Number of requests still to lose; decremented with each loss. */
	count: z.int().min(0).default(0),
	/** Share of the requests to lose once `count` is 0, from 0 to 1. */
	share: z.number().min(0).max(1).default(0),
});

export const faultsSchema = z.strictObject({
	outage: z.enum(outages).default(outages.none),
	delayMilliseconds: z.number().min(0).max(600_000).default(0),
	/** Requests lost: the connection is closed and nothing changes. */
	requestsLost: lossSchema.prefault({}),
	/** Responses lost: the change is made and then the connection is closed. */
	answersLost: lossSchema.prefault({}),
	/** Methods subject to loss; empty for all. */
	methods: z.array(z.string()).default([]),
	/** Prefix of the keys subject to loss. */
	keyPrefix: z.string().default(''),
	seed: z.int().default(1),
});

export type Faults = z.infer<typeof faultsSchema>;

export type FaultState = {faults: Faults; generator: RandomGenerator};

export function createFaultState(faults: Faults = faultsSchema.parse({})): FaultState {
	return {faults, generator: xoroshiro128plus(faults.seed)};
}

/** Whether a request with this method and key may be lost. */
export function isSubjectToLoss(faults: Faults, method: string, key: string): boolean {
	const matchesMethod = faults.methods.length === 0 || faults.methods.includes(method);
	return matchesMethod && key.startsWith(faults.keyPrefix);
}

/**
 * Decides whether the next request or response is lost; decrements `count` in place.
 *
 * @param state the faults and their random generator
 * @param stage whether requests or responses are lost
 */
export function drawLoss(
	state: FaultState,
	stage: 'requestsLost' | 'answersLost',
): boolean {
	const loss = state.faults[stage];
	if (loss.count > 0) {
		loss.count -= 1;
		return true;
	}

	if (loss.share === 0) {
		return false;
	}

	const resolution = 1_000_000;
	const drawn = unsafeUniformIntDistribution(0, resolution - 1, state.generator);
	return drawn < loss.share * resolution;
}
