/** Which attempts a gate refuses whatever its load; another gate may accept them. */
import {createRefusal, refusalKinds, type Refusal} from '../call/index.js';

export type GateConditions = {
	/** Whether the gate accepts requests of the service. */
	readonly isAccepting: boolean;
	/** Whether the node is about to stop. */
	readonly isLeaving: boolean;
	/** Whether the request may run in the region of the gate. */
	readonly isHome: boolean;
};

/**
 * Decides whether a gate refuses an attempt whatever its load.
 *
 * @param conditions the state of the gate, and whether the request may run there
 * @returns the refusal; undefined if the load decides
 */
export function refuseWhereClosed(conditions: GateConditions): Refusal | undefined {
	if (!conditions.isAccepting) {
		const kind = conditions.isLeaving ? refusalKinds.leaving : refusalKinds.noServer;
		return createRefusal(kind, 'this gate accepts no new requests: use another');
	}

	return conditions.isHome
		? undefined
		: createRefusal(
				refusalKinds.noServer,
				'the request may not run in this region: use one of its homes',
			);
}
