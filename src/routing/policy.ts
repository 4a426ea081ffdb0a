/** The routing part of a preset. */

/** Load-balancing algorithms. All but `adaptive` are baselines for comparison. */
export const balancingAlgorithms = {
	/** A random server. */
	random: 'random',
	/** Each server in turn. */
	roundRobin: 'round-robin',
	/** The server with the fewest requests in flight from this node. */
	leastInFlight: 'least-in-flight',
	/** Power of two choices: of two random servers, the one with the lower reported load. */
	twoChoices: 'two-choices',
	/** By estimated latency; other regions only if no server in the node's region has a free slot. */
	adaptive: 'adaptive',
} as const;

export type BalancingAlgorithm =
	(typeof balancingAlgorithms)[keyof typeof balancingAlgorithms];

/** The routing part of a preset. */
export type RoutingPolicy = {
	readonly choice: BalancingAlgorithm;
	/** Number of servers compared for each choice. */
	readonly candidates: number;
	/** Maximum share of a service's servers that may be ejected at once, 0 to 1. */
	readonly ejectionShare: number;
	/** Retries allowed as a share of first attempts, 0 to 1. */
	readonly retryShare: number;
	/** Hedges allowed as a share of first attempts, 0 to 1. */
	readonly hedgeShare: number;
	/** Quantile of the latency, 0 to 1, after which a call may be hedged. */
	readonly hedgeQuantile: number;
	/** Maximum bytes that a node may send to other regions per second. */
	readonly crossRegionBytesPerSecond: number;
};
