/** Puts the policies in force for the server beside a node into its gate and its measuring. */
import {changeMeasuringPolicy, type MeasuringBudget} from '../measuring/index.js';
import type {NodeConfiguration} from './configuration.js';
import type {Gate} from './gate.js';

export type PolicyUpdater = {
	/** Tells which service the server beside the node belongs to; `undefined` for none. */
	readonly setService: (service: string | undefined) => void;
};

/**
 * Follows the configuration for one gate.
 *
 * @param following the configuration in force
 * @param gate takes the ranks and the admission of the preset
 * @param meter takes the bounds of measuring
 */
export function createPolicyUpdater(
	following: NodeConfiguration,
	gate: Gate,
	meter: MeasuringBudget,
): PolicyUpdater {
	let served: string | undefined;
	let inForce = following.findPolicies(served);

	const update = (): void => {
		const policies = following.findPolicies(served);
		if (policies === inForce) {
			return;
		}

		inForce = policies;
		gate.setPolicy(policies);
		changeMeasuringPolicy(meter, policies.measuring);
	};

	following.configuration.subscribe(update);
	return {
		setService(service) {
			served = service;
			update();
		},
	};
}
