/** What a preset says about the choice of a server. */

/** How a server is chosen. All but `adaptive` are baselines to compare with. */
export const balancingAlgorithms = {
	/** Any server. */
	random: 'random',
	/** One after the other. */
	roundRobin: 'round-robin',
	/** The server with the fewest requests in flight from this node. */
	leastInFlight: 'least-in-flight',
	/** The better of two random servers by their last reports. */
	twoChoices: 'two-choices',
	/** Near servers with a free slot by estimated latency; far ones when these are full. */
	adaptive: 'adaptive',
} as const;

export type BalancingAlgorithm =
	(typeof balancingAlgorithms)[keyof typeof balancingAlgorithms];

/** The routing part of a preset. */
export type RoutingPolicy = {
	readonly choice: BalancingAlgorithm;
	/** Servers that each choice compares. */
	readonly candidates: number;
	/** Largest share of a service's servers, 0 to 1, that may be ejected at once. */
	readonly ejectionShare: number;
	/** Retries allowed as a share of first attempts, 0 to 1. */
	readonly retryShare: number;
	/** Hedges allowed as a share of first attempts, 0 to 1. */
	readonly hedgeShare: number;
	/** Quantile of the latency, 0 to 1, after which a call may be hedged. */
	readonly hedgeQuantile: number;
	/** Bytes that a node may send to other regions in any second. */
	readonly crossRegionBytesPerSecond: number;
};
