/** Helpers of the routing tests: a policy, a location, candidates and a seeded random generator. */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {
	balancingAlgorithms,
	type Candidate,
	type ChoiceRequest,
	type RoutingPolicy,
} from '../../src/routing/index.js';

export const policy: RoutingPolicy = {
	choice: balancingAlgorithms.adaptive,
	candidates: 3,
	ejectionShare: 0.34,
	retryShare: 0.1,
	hedgeShare: 0.05,
	hedgeQuantile: 0.95,
	crossRegionBytesPerSecond: 10_000,
};

export const location = {nodeId: 'self', region: 'coast', failureDomain: 'coast-1'};

/** Creates a uniform random generator from 0 to 1, reproducible by its seed. */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	const range = 2 ** 31;
	return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

export function createCandidates(
	count: number,
	region = 'coast',
	prefix = 'near',
): Candidate[] {
	return Array.from({length: count}, (_, index) => ({
		nodeId: `${prefix}-${index}`,
		region,
		failureDomain: `${region}-2`,
		incarnation: 1,
		slots: 10,
	}));
}

export function createRequest(change: Partial<ChoiceRequest> = {}): ChoiceRequest {
	return {
		policy,
		rankIndex: 0,
		rankCount: 3,
		bytes: 1000,
		excluded: new Set<string>(),
		random: createRandom(7),
		...change,
	};
}
