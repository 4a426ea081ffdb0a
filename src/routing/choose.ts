/** The choice of a server for one attempt of a call. */
import {remainingAllowance, tryAcquire} from '../measuring/index.js';
import {chooseByBaseline} from './baselines.js';
import {isUsable, ejectOutliers} from './ejection.js';
import {balancingAlgorithms, type RoutingPolicy} from './policy.js';
import {estimateCost, estimateRequests} from './score.js';
import {type LoadView, type ServerView, type ServiceView} from './view.js';

/** Picks for each candidate wanted before the choice makes do with fewer. */
const drawsPerCandidate = 2;

/** What the choice needs to know of an attempt. */
export type ChoiceRequest = {
	readonly policy: RoutingPolicy;
	/** Position of the call's rank, 0 for the most urgent. */
	readonly rankIndex: number;
	readonly rankCount: number;
	/** Bytes that the call would carry to another region and back, as far as known. */
	readonly bytes: number;
	/** Nodes that this call must not go to again. */
	readonly excluded: ReadonlySet<string>;
	/** A number from 0 to 1. */
	readonly random: () => number;
};

/** One search among servers and the best it has found. */
type Search = {
	readonly service: ServiceView;
	readonly request: ChoiceRequest;
	readonly now: number;
	server: ServerView | undefined;
	/** Milliseconds, as `estimateCost` gives them. */
	cost: number;
	/** Requests per slot. */
	load: number;
};

/**
 * Chooses a server. Near servers come first, by estimated cost. A far server is taken only if it has a free slot,
 * no near one has, and the budget between regions allows it for the call's rank.
 *
 * @param view changed in place: bytes to other regions are booked
 * @param service the service's view, from `arrangeService`
 * @param request what the choice needs to know of the attempt
 * @param now monotonic time in milliseconds
 * @returns the server, or undefined when none may be chosen
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
 * Urgent work may use the whole budget; each rank below leaves a larger part to those above it.
 */
function trySpendCrossRegion(
	view: LoadView,
	request: ChoiceRequest,
	now: number,
): boolean {
	const window = view.crossRegionBytes;
	window.limitPerSecond = request.policy.crossRegionBytesPerSecond;
	const kept = (window.limitPerSecond * request.rankIndex) / request.rankCount;
	const rest = remainingAllowance(window, now) - request.bytes;
	return rest >= kept && tryAcquire(window, request.bytes, now);
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
	const picks = policy.candidates * drawsPerCandidate;
	let found = 0;
	for (let pick = 0; pick < picks && found < policy.candidates; pick += 1) {
		const server = servers[Math.floor(random() * servers.length)]!;
		if (considerIfUsable(search, server)) {
			found += 1;
		}
	}
}

/** When no pick was usable any server will do, an ejected one rather than none. */
function considerAll(search: Search, servers: readonly ServerView[]): void {
	const {excluded} = search.request;
	const allowed = servers.filter(server => !excluded.has(server.nodeId));
	const inUse = allowed.filter(server => server.ejection.ejectedUntil === undefined);
	for (const server of inUse.length > 0 ? inUse : allowed) {
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
