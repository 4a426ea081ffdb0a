/** Chooses a server for one attempt of a call. */
import {remainingAllowance, tryAcquire} from '../measuring/index.js';
import {chooseByBaseline} from './baselines.js';
import {isUsable, ejectOutliers} from './ejection.js';
import {balancingAlgorithms, type RoutingPolicy} from './policy.js';
import {estimateCost, estimateRequests} from './score.js';
import {type LoadView, type ServerView, type ServiceView} from './view.js';

/** Maximum random draws per candidate; after these, fewer candidates are accepted. */
const drawsPerCandidate = 2;

/** The attempt that a server is chosen for. */
export type ChoiceRequest = {
	readonly policy: RoutingPolicy;
	/** Index of the call's rank, 0 for the most urgent. */
	readonly rankIndex: number;
	readonly rankCount: number;
	/** Estimated bytes that the call would send to another region and back. */
	readonly bytes: number;
	/** Ids of nodes that must not be chosen. */
	readonly excluded: ReadonlySet<string>;
	/** Returns a number from 0 to 1. */
	readonly random: () => number;
};

/** State of a search among servers, with the best one found so far. */
type Search = {
	readonly service: ServiceView;
	readonly request: ChoiceRequest;
	readonly now: number;
	server: ServerView | undefined;
	/** Milliseconds, from `estimateCost`. */
	cost: number;
	/** Requests per slot. */
	load: number;
};

/**
 * Chooses a server by estimated cost, servers in this node's region first. If the best of these
 * has no free slot, a server with a free slot in another region is chosen; if there are none, any
 * server in another region. Another region is used only if the cross-region byte budget allows it
 * for the call's rank.
 *
 * @param view changed in place: cross-region bytes are spent
 * @param service the service's view, from `updateServers`
 * @param request the attempt
 * @param now monotonic time in milliseconds
 * @returns the server, or undefined if none may be chosen
 */
export function chooseServer(
	view: LoadView,
	service: ServiceView,
	request: ChoiceRequest,
	now: number,
): ServerView | undefined {
	if (request.policy.choice !== balancingAlgorithms.adaptive) {
		return chooseByBaseline(service, request);
	}

	ejectOutliers(service, request.policy, now);
	const near = findBest(createSearch(service, request, now), service.near);
	if (near.server !== undefined && near.load < 1) {
		return near.server;
	}

	const far = findBest(createSearch(service, request, now), service.far);
	const isFarBetter =
		far.server !== undefined && (near.server === undefined || far.load < 1);
	if (isFarBetter && trySpendCrossRegion(view, request, now)) {
		return far.server;
	}

	return near.server;
}

/**
 * The most urgent rank may use the whole budget; each lower rank must leave more of it unspent.
 */
function trySpendCrossRegion(
	view: LoadView,
	request: ChoiceRequest,
	now: number,
): boolean {
	const limiter = view.crossRegionBytes;
	limiter.limitPerSecond = request.policy.crossRegionBytesPerSecond;
	const reserved = (limiter.limitPerSecond * request.rankIndex) / request.rankCount;
	const remaining = remainingAllowance(limiter, now) - request.bytes;
	return remaining >= reserved && tryAcquire(limiter, request.bytes, now);
}

function createSearch(service: ServiceView, request: ChoiceRequest, now: number): Search {
	return {service, request, now, server: undefined, cost: 0, load: 0};
}

function findBest(search: Search, servers: readonly ServerView[]): Search {
	if (servers.length <= search.request.policy.candidates) {
		for (const server of servers) {
			considerIfUsable(search, server);
		}
	} else {
		sample(search, servers);
	}

	if (search.server === undefined && servers.length > 0) {
		considerAll(search, servers);
	}

	return search;
}

function sample(search: Search, servers: readonly ServerView[]): void {
	const {policy, random} = search.request;
	const maximumDraws = policy.candidates * drawsPerCandidate;
	let found = 0;
	for (let draw = 0; draw < maximumDraws && found < policy.candidates; draw += 1) {
		const server = servers[Math.floor(random() * servers.length)]!;
		if (considerIfUsable(search, server)) {
			found += 1;
		}
	}
}

/** Fallback if no server drawn was usable: any server not excluded, preferring those not ejected. */
function considerAll(search: Search, servers: readonly ServerView[]): void {
	const {excluded} = search.request;
	const allowed = servers.filter(server => !excluded.has(server.nodeId));
	const notEjected = allowed.filter(server => server.ejection.ejectedUntil === undefined);
	for (const server of notEjected.length > 0 ? notEjected : allowed) {
		consider(search, server);
	}
}

function considerIfUsable(search: Search, server: ServerView): boolean {
	const {excluded, random} = search.request;
	if (excluded.has(server.nodeId) || !isUsable(server, search.now, random)) {
		return false;
	}

	consider(search, server);
	return true;
}

function consider(search: Search, server: ServerView): void {
	const {service, now} = search;
	const requests = estimateRequests(service, server, now);
	const load = requests / Math.max(1, server.slots);
	const cost = estimateCost(service, server, requests, now);
	if (search.server === undefined || cost < search.cost) {
		search.server = server;
		search.load = load;
		search.cost = cost;
	}
}
