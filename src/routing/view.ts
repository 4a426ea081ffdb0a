/**
 * A node's view of the load of the servers that it may choose: its own requests in flight, the
 * last reports of their gates, and the age of these. One task owns the view; it is changed in place.
 */
import {createHash} from 'node:crypto';
import {createRateLimiter, type RateLimiter} from '../measuring/index.js';
import {type LoadReport} from './load-report.js';

const initialLatencyMilliseconds = 10;
const initialReportReliability = 0.8;
/** Maximum size of the near and far subsets of a service; larger ones would get older reports. */
const maximumSubsetSize = 24;

/** Distance between a node and a server. */
export const distances = {
	failureDomain: 'failureDomain',
	region: 'region',
	otherRegion: 'otherRegion',
} as const;

export type Distance = (typeof distances)[keyof typeof distances];

/** Location of a node. */
export type NodeLocation = {
	readonly nodeId: string;
	readonly region: string;
	readonly failureDomain: string;
};

/** A server that may be chosen, identified by the node beside it. */
export type Candidate = NodeLocation & {
	/** Incarnation number of its node, which grows with each start. */
	readonly incarnation: number;
	/** Requests that it runs concurrently. */
	readonly slots: number;
};

/** Ejection and slow start of a server. */
export type EjectionState = {
	/** Monotonic time in milliseconds from which trials are allowed; undefined if not ejected. */
	ejectedUntil: number | undefined;
	/** Number of ejections so far; each lengthens the next. */
	ejectionCount: number;
	/** Monotonic time in milliseconds at which slow start began. */
	rampStartedAt: number;
};

/** The view of one server. */
export type ServerView = {
	readonly nodeId: string;
	readonly incarnation: number;
	readonly distance: Distance;
	slots: number;
	/** Requests in flight from this node. */
	ownInFlight: number;
	/** Monotonic time in milliseconds since which requests are in flight without any response. */
	unansweredSince: number;
	lastResponseAt: number;
	report: LoadReport | undefined;
	reportedAt: number;
	ownInFlightAtReport: number;
	unchangedReports: number;
	/** How reliable its reports have been, 0 to 1. */
	reportReliability: number;
	/** Moving average of the latency of its successful responses. */
	latencyMilliseconds: number;
	samples: number;
	/** Moving average of the share of failed attempts, 0 to 1. */
	failureShare: number;
	readonly ejection: EjectionState;
};

/** The view of one service. */
export type ServiceView = {
	readonly service: string;
	servers: ServerView[];
	/** The node's subset of the servers in its region. */
	near: ServerView[];
	/** The node's subset of the servers in other regions. */
	far: ServerView[];
	/** Moving average of the latency of successful responses of all servers. */
	meanLatencyMilliseconds: number;
	/** Moving average of reported requests per slot. */
	meanLoad: number;
	/** Moving average of the error of latencies predicted from reports. */
	reportErrorMilliseconds: number;
	/** Moving average of the error when `meanLatencyMilliseconds` is the prediction. */
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
 * @param location location of the node that chooses servers
 * @returns a view without servers
 */
export function createLoadView(location: NodeLocation): LoadView {
	return {
		location,
		services: new Map(),
		crossRegionBytes: createRateLimiter(0),
	};
}

/**
 * Sets the current servers of a service. Call it when membership changes, not for each choice.
 * The views of servers that remain are kept; a server that joins a known service, or returns with
 * a later incarnation, starts with slow start.
 *
 * @param view changed in place
 * @param service name of the service
 * @param candidates its current servers
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
	const serviceView = known ?? createServiceView(service);
	const previous = new Map(serviceView.servers.map(server => [server.nodeId, server]));
	const rampStartedAt = known === undefined ? Number.NEGATIVE_INFINITY : now;
	serviceView.servers = candidates.map(candidate => {
		const server = previous.get(candidate.nodeId);
		if (server?.incarnation !== candidate.incarnation) {
			return createServerView(view.location, candidate, rampStartedAt);
		}

		server.slots = candidate.slots;
		return server;
	});
	serviceView.near = selectSubset(view.location, serviceView.servers, isNear);
	serviceView.far = selectSubset(
		view.location,
		serviceView.servers,
		server => !isNear(server),
	);
	view.services.set(service, serviceView);
	return serviceView;
}

/**
 * Finds a server by the id of the node beside it.
 *
 * @param service the service's view
 * @param nodeId the node
 * @returns the server, or undefined if it is no longer a member
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
	location: NodeLocation,
	candidate: Candidate,
	rampStartedAt: number,
): ServerView {
	return {
		nodeId: candidate.nodeId,
		incarnation: candidate.incarnation,
		distance: measureDistance(location, candidate),
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
		ejection: {ejectedUntil: undefined, ejectionCount: 0, rampStartedAt},
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

/** Rendezvous hashing puts each server into the subsets of about the same number of nodes. */
function selectSubset(
	location: NodeLocation,
	servers: readonly ServerView[],
	isWanted: (server: ServerView) => boolean,
): ServerView[] {
	const wanted = servers.filter(server => isWanted(server));
	if (wanted.length <= maximumSubsetSize) {
		return wanted;
	}

	return wanted
		.map(server => ({server, weight: hashPair(location.nodeId, server.nodeId)}))
		.toSorted((one, other) => one.weight - other.weight)
		.slice(0, maximumSubsetSize)
		.map(({server}) => server);
}

function hashPair(from: string, to: string): number {
	return createHash('sha1').update(`${from} ${to}`).digest().readUInt32BE();
}
