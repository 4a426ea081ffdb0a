/** Applies the active policies of the local server's service to the gate and the measuring budget. */
import {changeMeasuringPolicy, type MeasuringBudget} from '../measuring/index.js';
import type {NodeConfiguration} from './configuration.js';
import type {Gate} from './gate.js';

export type PolicyUpdater = {
	/** Sets the service of the node's own server; `undefined` if there is none. */
	readonly setService: (service: string | undefined) => void;
};

/**
 * Updates the gate and the measuring budget whenever the configuration changes.
 *
 * @param nodeConfiguration the configuration of the node
 * @param gate receives the ranks and the admission policy
 * @param measuringBudget receives the measuring policy
 */
export function createPolicyUpdater(
	nodeConfiguration: NodeConfiguration,
	gate: Gate,
	measuringBudget: MeasuringBudget,
): PolicyUpdater {
	let currentService: string | undefined;
	let activePolicies = nodeConfiguration.findPolicies(currentService);

	const update = (): void => {
		const policies = nodeConfiguration.findPolicies(currentService);
		if (policies === activePolicies) {
			return;
		}

		activePolicies = policies;
		gate.setPolicy(policies);
		changeMeasuringPolicy(measuringBudget, policies.measuring);
	};

	nodeConfiguration.configuration.subscribe(update);
	return {
		setService(service) {
			currentService = service;
			update();
		},
	};
}
