/**
 * Which failure domains are evacuated, as one node knows it. An operator writes a row for a domain,
 * and removes it to take the domain back. Few nodes read the table; the others learn through gossip.
 * For each domain the highest order counts. The functions change the state in place.
 *
 * Load pattern: an operator empties a failure domain under full load, while nodes start, the table is
 * away or comes back from an older copy, and gossip arrives late.
 */
import {decodeEvacuationOrder, encodeEvacuationOrder} from './evacuation-order.js';

export type EvacuationState = {
	/** Order of each domain that ever was evacuated. */
	readonly orders: Map<string, number>;
	/** Position of the newest reading that listed all evacuations, as an order. */
	completeAt: number;
};

/** A row of the table, or its removal. */
export type EvacuationRow = {
	readonly domain: string;
	readonly isEvacuated: boolean;
	readonly rowVersion: number;
};

export type EvacuationReading = {
	readonly evacuations: readonly EvacuationRow[];
	/** Whether a domain without a row is not evacuated; otherwise nothing is known of it. */
	readonly isComplete: boolean;
	readonly position: {readonly era: number; readonly version: number};
};

/** What the state has learned of a domain. */
export type EvacuationChange = {
	readonly domain: string;
	/** For other nodes. */
	readonly order: number;
	readonly isEvacuated: boolean;
	/** Whether this differs from what was known. */
	readonly isSwitched: boolean;
};

/** @returns a state in which no domain is evacuated */
export function createEvacuationState(): EvacuationState {
	return {orders: new Map(), completeAt: 0};
}

/**
 * Tells whether a failure domain is evacuated.
 *
 * @param state what is known
 * @param domain the failure domain
 * @returns whether its servers get no new requests
 */
export function isDomainEvacuated({orders}: EvacuationState, domain: string): boolean {
	return isEvacuatedOrder(orders.get(domain));
}

/**
 * Applies a reading of the table.
 *
 * @param state changed in place
 * @param reading rows of the table, and where in its history they were read
 * @returns what was learned
 */
export function applyReading(
	state: EvacuationState,
	reading: EvacuationReading,
): EvacuationChange[] {
	const {evacuations, isComplete, position} = reading;
	const {era} = position;
	const changes: Array<EvacuationChange | undefined> = evacuations.map(row => {
		const {domain, isEvacuated, rowVersion: version} = row;
		return raise(state, domain, encodeEvacuationOrder({era, version, isEvacuated}));
	});
	const absence = encodeEvacuationOrder({...position, isEvacuated: false});
	if (!isComplete || absence === undefined) {
		return changes.filter(change => change !== undefined);
	}

	state.completeAt = Math.max(state.completeAt, absence);
	const listed = new Set(evacuations.map(({domain}) => domain));
	for (const [domain, order] of state.orders) {
		if (!listed.has(domain) && isEvacuatedOrder(order)) {
			changes.push(raise(state, domain, absence));
		}
	}

	return changes.filter(change => change !== undefined);
}

/**
 * Applies an order from gossip. One that is older than a complete reading without the domain is
 * outdated; the reading takes its place, for the other nodes too.
 *
 * @param state changed in place
 * @param domain the failure domain
 * @param order the order that was received
 * @returns what was learned; undefined if nothing
 */
export function applyGossip(
	state: EvacuationState,
	domain: string,
	order: number,
): EvacuationChange | undefined {
	if (decodeEvacuationOrder(order) === undefined) {
		return undefined;
	}

	const isOutdated = order > (state.orders.get(domain) ?? 0) && order < state.completeAt;
	return raise(state, domain, isOutdated ? state.completeAt : order);
}

/** Lists the evacuated domains. */
export function listEvacuatedDomains({orders}: EvacuationState): string[] {
	return [...orders]
		.filter(([, order]) => isEvacuatedOrder(order))
		.map(([domain]) => domain);
}

function raise(
	state: EvacuationState,
	domain: string,
	order: number | undefined,
): EvacuationChange | undefined {
	const known = state.orders.get(domain);
	if (order === undefined || (known !== undefined && order <= known)) {
		return undefined;
	}

	state.orders.set(domain, order);
	const isEvacuated = isEvacuatedOrder(order);
	return {
		domain,
		order,
		isEvacuated,
		isSwitched: isEvacuated !== isEvacuatedOrder(known),
	};
}

function isEvacuatedOrder(order: number | undefined): boolean {
	return order !== undefined && order % 2 === 1;
}
