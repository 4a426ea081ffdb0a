/**
 * What one node knows of the servers that it may choose: its own requests in flight, what their
 * gates reported, and how old that is. One task owns the view; the decisions change it in place.
 */
import {createHash} from 'node:crypto';
import {createSpendingWindow, type SpendingWindow} from '../measuring/index.js';
import {type LoadReport} from './load-report.js';

const startingLatencyMilliseconds = 10;
const startingTrust = 0.8;
/** Near servers that a node knows of one service; more would leave each view older. */
const largestSubset = 24;

/** How far a server is. */
export const distances = {
	failureDomain: 'failureDomain',
	region: 'region',
	otherRegion: 'otherRegion',
} as const;

export type Distance = (typeof distances)[keyof typeof distances];

/** Where a node stands. */
export type Place = {
	readonly nodeId: string;
	readonly region: string;
	readonly failureDomain: string;
};

/** A server that may be chosen, named by the node beside it. */
export type Candidate = Place & {
	/** Number of this life of its node; a later life has a higher number. */
	readonly incarnation: number;
	/** Requests that it runs at once. */
	readonly slots: number;
};

/** Why a server gets no ordinary requests, or since when it gets few. */
export type Standing = {
	/** Monotonic time in milliseconds at which a trial may start; undefined while in use. */
	ejectedUntil: number | undefined;
	/** Ejections in a row, which lengthen the next one. */
	ejections: number;
	/** Monotonic time in milliseconds at which its share started to grow. */
	rampFrom: number;
};

/** What the node knows of one server. */
export type ServerView = {
	readonly nodeId: string;
	readonly incarnation: number;
	readonly distance: Distance;
	slots: number;
	/** Requests from this node that are not answered yet. */
	ownInFlight: number;
	/** Since when requests are out without any answer, monotonic milliseconds. */
	silentSince: number;
	lastAnswerAt: number;
	report: LoadReport | undefined;
	reportedAt: number;
	ownInFlightAtReport: number;
	unchangedReports: number;
	/** How well its reports foretold its answers, 0 to 1. */
	trust: number;
	/** Moving mean of the latency of its good answers. */
	latencyMilliseconds: number;
	samples: number;
	/** Moving share of answers that failed, 0 to 1. */
	failureShare: number;
	readonly standing: Standing;
};

/** What the node knows of one service. */
export type ServiceView = {
	readonly service: string;
	servers: ServerView[];
	/** Those in the node's own region, as far as they are in its subset. */
	near: ServerView[];
	/** Those in other regions, as far as they are in its subset. */
	far: ServerView[];
	/** Moving mean of the latency of good answers of all servers. */
	typicalLatencyMilliseconds: number;
	/** Moving mean of reported requests per slot. */
	typicalLoad: number;
	/** Moving mean of how far answers were from what reports foretold. */
	reportErrorMilliseconds: number;
	/** Moving mean of how far answers were from the typical latency. */
	plainErrorMilliseconds: number;
	nextReviewAt: number;
	nextTurn: number;
};

export type LoadView = {
	readonly place: Place;
	readonly services: Map<string, ServiceView>;
	/** Bytes sent to other regions. */
	readonly crossRegionBytes: SpendingWindow;
};

/**
 * @param place where the choosing node stands
 * @returns a view without servers
 */
export function createLoadView(place: Place): LoadView {
	return {place, services: new Map(), crossRegionBytes: createSpendingWindow(0)};
}

/**
 * Takes over the present servers of a service. Call it when membership changes, not for each
 * choice. What is known of servers that stay is kept; a server that joins a known service, or
 * comes back with a later incarnation, starts with a small share.
 *
 * @param view changed in place
 * @param service name of the service
 * @param candidates its present servers
 * @param now monotonic time in milliseconds
 * @returns the service's view, to choose from
 */
export function arrangeService(
	view: LoadView,
	service: string,
	candidates: readonly Candidate[],
	now: number,
): ServiceView {
	const known = view.services.get(service);
	const arranged = known ?? createServiceView(service);
	const before = new Map(arranged.servers.map(server => [server.nodeId, server]));
	const rampFrom = known === undefined ? Number.NEGATIVE_INFINITY : now;
	arranged.servers = candidates.map(candidate => {
		const server = before.get(candidate.nodeId);
		if (server?.incarnation !== candidate.incarnation) {
			return createServerView(view.place, candidate, rampFrom);
		}

		server.slots = candidate.slots;
		return server;
	});
	arranged.near = takeSubset(view.place, arranged.servers, isNear);
	arranged.far = takeSubset(view.place, arranged.servers, server => !isNear(server));
	view.services.set(service, arranged);
	return arranged;
}

/**
 * Finds a server by the node beside it.
 *
 * @param service the service's view
 * @param nodeId the node
 * @returns the server, or undefined when it is no longer a member
 */
export function findServer(service: ServiceView, nodeId: string): ServerView | undefined {
	return service.servers.find(server => server.nodeId === nodeId);
}

function createServiceView(service: string): ServiceView {
	return {
		service,
		servers: [],
		near: [],
		far: [],
		typicalLatencyMilliseconds: startingLatencyMilliseconds,
		typicalLoad: 0,
		reportErrorMilliseconds: 0,
		plainErrorMilliseconds: 0,
		nextReviewAt: Number.NEGATIVE_INFINITY,
		nextTurn: 0,
	};
}

function createServerView(
	place: Place,
	candidate: Candidate,
	rampFrom: number,
): ServerView {
	return {
		nodeId: candidate.nodeId,
		incarnation: candidate.incarnation,
		distance: measureDistance(place, candidate),
		slots: candidate.slots,
		ownInFlight: 0,
		silentSince: 0,
		lastAnswerAt: Number.NEGATIVE_INFINITY,
		report: undefined,
		reportedAt: Number.NEGATIVE_INFINITY,
		ownInFlightAtReport: 0,
		unchangedReports: 0,
		trust: startingTrust,
		latencyMilliseconds: startingLatencyMilliseconds,
		samples: 0,
		failureShare: 0,
		standing: {ejectedUntil: undefined, ejections: 0, rampFrom},
	};
}

function measureDistance(from: Place, to: Place): Distance {
	if (from.region !== to.region) {
		return distances.otherRegion;
	}

	return from.failureDomain === to.failureDomain
		? distances.failureDomain
		: distances.region;
}

function isNear(server: ServerView): boolean {
	return server.distance !== distances.otherRegion;
}

/** Each node takes its own subset by rendezvous hashing, so that all servers are in as many. */
function takeSubset(
	place: Place,
	servers: readonly ServerView[],
	isWanted: (server: ServerView) => boolean,
): ServerView[] {
	const wanted = servers.filter(server => isWanted(server));
	if (wanted.length <= largestSubset) {
		return wanted;
	}

	return wanted
		.map(server => ({server, weight: weighPair(place.nodeId, server.nodeId)}))
		.toSorted((one, other) => one.weight - other.weight)
		.slice(0, largestSubset)
		.map(({server}) => server);
}

function weighPair(from: string, to: string): number {
	return createHash('sha1').update(`${from} ${to}`).digest().readUInt32BE();
}
