/**
 * Chooses which gates are asked for a request. Asking all of a service costs every one of them
 * time, and its server a question about its speed; two or three fresh answers find nearly as good a
 * gate. The sample is random within a distance, so that requests that come at once do not all go
 * to the same gate.
 *
 * Load pattern: a service with many servers, all of them under load, on small VMs.
 */
import {distances, type Distance} from './scoring.js';

/** Where a gate stands as seen from the node. */
export type Located = {readonly distance: Distance};

const nearOrder: readonly Distance[] = [
	distances.own,
	distances.failureDomain,
	distances.region,
	distances.remote,
];

/**
 * Orders gates for questions: nearest first, and in random order within a distance.
 *
 * @param located the gates
 * @param random source of numbers from 0 to below 1
 * @returns the gates in the order in which to ask them
 */
export function orderForQueries<Gate extends Located>(
	located: readonly Gate[],
	random: () => number,
): Gate[] {
	return located
		.map(gate => ({gate, draw: random()}))
		.toSorted(
			(left, right) =>
				nearOrder.indexOf(left.gate.distance) - nearOrder.indexOf(right.gate.distance) ||
				left.draw - right.draw,
		)
		.map(({gate}) => gate);
}
