/**
 * The faults that the table stand-in brings about on request: outages, slowness, and requests or
 * answers that are lost. A loss counts down a number of requests or takes a share of them, drawn
 * from a seed, so that a run can be repeated.
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
	/** Every request is answered 503, without effect. */
	refuses: 'refuses',
	/** Every connection is cut when its request arrives, without effect. */
	cuts: 'cuts',
	/** No request is ever answered, and none has an effect. */
	hangs: 'hangs',
} as const;

const lossSchema = z.strictObject({
	/** How many requests are lost; fewer remain after each. */
	count: z.int().min(0).default(0),
	/** Which share of the requests is lost, from 0 to 1. */
	share: z.number().min(0).max(1).default(0),
});

export const faultsSchema = z.strictObject({
	outage: z.enum(outages).default(outages.none),
	delayMilliseconds: z.number().min(0).max(600_000).default(0),
	/** Lost before the effect: the connection is cut and nothing changes. */
	requestsLost: lossSchema.prefault({}),
	/** Lost after the effect: the change is made and the connection is cut. */
	answersLost: lossSchema.prefault({}),
	/** Losses strike only these methods; empty strikes all. */
	methods: z.array(z.string()).default([]),
	/** Losses strike only keys that begin so. */
	keyPrefix: z.string().default(''),
	seed: z.int().default(1),
});

export type Faults = z.infer<typeof faultsSchema>;

export type FaultState = {faults: Faults; generator: RandomGenerator};

export function createFaultState(faults: Faults = faultsSchema.parse({})): FaultState {
	return {faults, generator: xoroshiro128plus(faults.seed)};
}

/** Whether losses strike a request with this method and key. */
export function isSubjectToLoss(faults: Faults, method: string, key: string): boolean {
	const meetsMethod = faults.methods.length === 0 || faults.methods.includes(method);
	return meetsMethod && key.startsWith(faults.keyPrefix);
}

/**
 * Decides whether the next request is lost; counts down in place.
 *
 * @param state the faults and their random source
 * @param stage which loss is asked for
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
