/**
 * Orders the gates that may get a load query for a request. Querying all gates of a service costs
 * each of them time, and its server a speed probe; two or three fresh reports find nearly as good
 * a gate. The order is random within a distance, so that concurrent requests do not all go to the
 * same gate.
 *
 * Load pattern: a service with many servers, all of them under load, on small VMs.
 */
import {distances, type Distance} from './scoring.js';

/** A gate with its distance from this node. */
export type Located = {readonly distance: Distance};

const nearestFirst: readonly Distance[] = [
	distances.own,
	distances.failureDomain,
	distances.region,
	distances.remote,
];

/**
 * Orders gates for load queries: nearest first, and in random order within a distance.
 *
 * @param located the gates
 * @param random source of numbers from 0 to below 1
 * @returns the gates in the order in which to query them
 */
export function orderForQueries<Gate extends Located>(
	located: readonly Gate[],
	random: () => number,
): Gate[] {
	return located
		.map(gate => ({gate, randomKey: random()}))
		.toSorted(
			(left, right) =>
				nearestFirst.indexOf(left.gate.distance) -
					nearestFirst.indexOf(right.gate.distance) || left.randomKey - right.randomKey,
		)
		.map(({gate}) => gate);
}
