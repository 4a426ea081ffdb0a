/**
 * What one node knows of the servers that it may choose: its own requests in flight, what their
 * gates reported, and how old that is. One task owns the view; the decisions change it in place.
 */
import {createHash} from 'node:crypto';
import {createRateLimiter, type RateLimiter} from '../measuring/index.js';
import {type LoadReport} from './load-report.js';

const initialLatencyMilliseconds = 10;
const initialReportReliability = 0.8;
/** Near servers that a node knows of one service; more would leave each view older. */
const maximumSubsetSize = 24;

/** How far a server is. */
export const distances = {
	failureDomain: 'failureDomain',
	region: 'region',
	otherRegion: 'otherRegion',
} as const;

export type Distance = (typeof distances)[keyof typeof distances];

/** Where a node stands. */
export type NodeLocation = {
	readonly nodeId: string;
	readonly region: string;
	readonly failureDomain: string;
};

/** A server that may be chosen, named by the node beside it. */
export type Candidate = NodeLocation & {
	/** Number of this life of its node; a later life has a higher number. */
	readonly incarnation: number;
	/** Requests that it runs at once. */
	readonly slots: number;
};

/** Why a server gets no ordinary requests, or since when it gets few. */
export type EjectionState = {
	/** Monotonic time in milliseconds at which a trial may start; undefined while in use. */
	ejectedUntil: number | undefined;
	/** Ejections in a row, which lengthen the next one. */
	ejectionCount: number;
	/** Monotonic time in milliseconds at which its share started to grow. */
	rampStartedAt: number;
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
	unansweredSince: number;
	lastResponseAt: number;
	report: LoadReport | undefined;
	reportedAt: number;
	ownInFlightAtReport: number;
	unchangedReports: number;
	/** How well its reports foretold its answers, 0 to 1. */
	reportReliability: number;
	/** Moving mean of the latency of its good answers. */
	latencyMilliseconds: number;
	samples: number;
	/** Moving share of answers that failed, 0 to 1. */
	failureShare: number;
	readonly ejection: EjectionState;
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
	meanLatencyMilliseconds: number;
	/** Moving mean of reported requests per slot. */
	meanLoad: number;
	/** Moving mean of how far answers were from what reports foretold. */
	reportErrorMilliseconds: number;
	/** Moving mean of how far answers were from the typical latency. */
	baselineErrorMilliseconds: number;
	nextOutlierCheckAt: number;
	roundRobinIndex: number;
};

export type LoadView = {
	readonly location: NodeLocation;
	readonly services: Map<string, ServiceView>;
	/** Bytes sent to other regions. */
	readonly crossRegionBytes: RateLimiter;
};

/**
 * @param place where the choosing node stands
 * @returns a view without servers
 */
export function createLoadView(place: NodeLocation): LoadView {
	return {
		location: place,
		services: new Map(),
		crossRegionBytes: createRateLimiter(0),
	};
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
export function updateServers(
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
			return createServerView(view.location, candidate, rampFrom);
		}

		server.slots = candidate.slots;
		return server;
	});
	arranged.near = selectSubset(view.location, arranged.servers, isNear);
	arranged.far = selectSubset(view.location, arranged.servers, server => !isNear(server));
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
		meanLatencyMilliseconds: initialLatencyMilliseconds,
		meanLoad: 0,
		reportErrorMilliseconds: 0,
		baselineErrorMilliseconds: 0,
		nextOutlierCheckAt: Number.NEGATIVE_INFINITY,
		roundRobinIndex: 0,
	};
}

function createServerView(
	place: NodeLocation,
	candidate: Candidate,
	rampFrom: number,
): ServerView {
	return {
		nodeId: candidate.nodeId,
		incarnation: candidate.incarnation,
		distance: measureDistance(place, candidate),
		slots: candidate.slots,
		ownInFlight: 0,
		unansweredSince: 0,
		lastResponseAt: Number.NEGATIVE_INFINITY,
		report: undefined,
		reportedAt: Number.NEGATIVE_INFINITY,
		ownInFlightAtReport: 0,
		unchangedReports: 0,
		reportReliability: initialReportReliability,
		latencyMilliseconds: initialLatencyMilliseconds,
		samples: 0,
		failureShare: 0,
		ejection: {ejectedUntil: undefined, ejectionCount: 0, rampStartedAt: rampFrom},
	};
}

function measureDistance(from: NodeLocation, to: NodeLocation): Distance {
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
function selectSubset(
	place: NodeLocation,
	servers: readonly ServerView[],
	isWanted: (server: ServerView) => boolean,
): ServerView[] {
	const wanted = servers.filter(server => isWanted(server));
	if (wanted.length <= maximumSubsetSize) {
		return wanted;
	}

	return wanted
		.map(server => ({server, weight: hashPair(place.nodeId, server.nodeId)}))
		.toSorted((one, other) => one.weight - other.weight)
		.slice(0, maximumSubsetSize)
		.map(({server}) => server);
}

function hashPair(from: string, to: string): number {
	return createHash('sha1').update(`${from} ${to}`).digest().readUInt32BE();
}
