/**
 * Deals the requests of a route with several parts out by weight. The smooth weighted round robin
 * keeps every prefix of the sequence within one request of the weights, so that the shares hold
 * over short spans as well. A part that is short of room keeps its share: what does not fit is
 * refused, not moved.
 */
import type {Route} from './route.js';

/** How far each part of a route is ahead of or behind its share. */
export type RoundRobinState = Map<string, Map<string, number>>;

/** @returns a state in which no request has been dealt */
export function createRoundRobinState(): RoundRobinState {
	return new Map();
}

/**
 * Chooses the service of the next request of a route.
 *
 * @param state changed in place
 * @param route the route of the request
 * @returns name of the service
 */
export function chooseService(state: RoundRobinState, route: Route): string {
	const [first] = route.weightedServices;
	if (route.weightedServices.length === 1) {
		return first!.service;
	}

	const credits = state.get(route.name) ?? new Map<string, number>();
	state.set(route.name, credits);
	let total = 0;
	let chosen = first!.service;
	let highest = Number.NEGATIVE_INFINITY;
	for (const {service, weight} of route.weightedServices) {
		const credit = (credits.get(service) ?? 0) + weight;
		credits.set(service, credit);
		total += weight;
		if (weight > 0 && credit > highest) {
			highest = credit;
			chosen = service;
		}
	}

	credits.set(chosen, highest - total);
	return chosen;
}
