/**
 * Distributes the requests of a route with several services by weight. Smooth weighted round robin
 * keeps every prefix of the sequence within one request of the weights, so that the shares hold
 * over short spans as well. An overloaded service keeps its share: its excess requests are refused,
 * not moved to another service.
 */
import type {Route} from './route.js';

/** By route and service: how far a service is behind its share, in units of weight. */
export type RoundRobinState = Map<string, Map<string, number>>;

/** @returns a state without distributed requests */
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
