/** The policies of a node, and the defaults for services without an active preset. */
import type {GatePolicy} from '../admission/index.js';
import type {MeasuringPolicy} from '../measuring/index.js';
import {balancingAlgorithms, type RoutingPolicy} from '../routing/index.js';

/** Policies that a preset sets for a node. */
export type NodePolicies = GatePolicy & {
	readonly routing: RoutingPolicy;
	readonly measuring: MeasuringPolicy;
};

export const defaultPolicies: NodePolicies = {
	ranks: [
		{name: 'urgent', floorShare: 0.2},
		{name: 'normal', floorShare: 0.2},
		{name: 'background', floorShare: 0.05},
	],
	admission: {queuePerSlot: 4, fairness: true},
	routing: {
		choice: balancingAlgorithms.adaptive,
		candidates: 16,
		ejectionShare: 0.2,
		retryShare: 0.09,
		hedgeShare: 0.05,
		hedgeQuantile: 0.95,
		crossRegionBytesPerSecond: 1_000_000,
	},
	measuring: {bytesPerSecond: 2048, processorShare: 0.005},
};
