/**
 * Servers that are far slower than their peers, or fail, get no ordinary requests for a while.
 * Never more than a set share of a service's servers is ejected. After its time an ejected
 * server gets one trial request at a time; the first good answer readmits it with a small share
 * that grows.
 */
import {attemptEnds, type AttemptEnd} from './attempt.js';
import {type RoutingPolicy} from './policy.js';
import {type ServerView, type ServiceView} from './view.js';

const outlierCheckIntervalMilliseconds = 100;
const minimumSamples = 10;
const latencyOutlierFactor = 3;
const latencyOutlierSlackMilliseconds = 5;
const failureOutlierShare = 0.5;
const baseEjectionMilliseconds = 1000;
const maximumEjectionMilliseconds = 30_000;
const rampMilliseconds = 3000;
const minimumRampShare = 0.1;

/**
 * Looks for servers to eject, at most once in a while. Cheap when it isn't time yet.
 *
 * @param service changed in place
 * @param policy the routing part of the preset in force
 * @param now monotonic time in milliseconds
 */
export function ejectOutliers(
	service: ServiceView,
	policy: RoutingPolicy,
	now: number,
): void {
	if (now < service.nextOutlierCheckAt) {
		return;
	}

	service.nextOutlierCheckAt = now + outlierCheckIntervalMilliseconds;
	let room = countEjectable(service, policy);
	if (room <= 0) {
		return;
	}

	const median = findMedianLatency(service);
	const outliers = service.servers
		.filter(server => server.ejection.ejectedUntil === undefined)
		.filter(server => isOutlier(server, median, now));
	outliers.sort((one, other) => scoreOutlier(other) - scoreOutlier(one));
	for (const server of outliers) {
		if (room === 0) {
			return;
		}

		eject(server, now);
		room -= 1;
	}
}

/**
 * Tells whether a server may get the next request.
 *
 * @param server the server
 * @param now monotonic time in milliseconds
 * @param random a number from 0 to 1
 * @returns whether it may; a trial or a growing share counts as well
 */
export function isUsable(server: ServerView, now: number, random: () => number): boolean {
	const {ejectedUntil, rampStartedAt: rampFrom} = server.ejection;
	if (ejectedUntil !== undefined) {
		return now >= ejectedUntil && server.ownInFlight === 0;
	}

	const share = (now - rampFrom) / rampMilliseconds;
	return share >= 1 || random() < Math.max(minimumRampShare, share);
}

/**
 * Readmits a server after a good trial, or keeps it out longer.
 *
 * @param server changed in place
 * @param end how its attempt ended
 * @param now monotonic time in milliseconds
 */
export function recordTrialResult(
	server: ServerView,
	end: AttemptEnd,
	now: number,
): void {
	const {ejection: standing} = server;
	if (standing.ejectedUntil === undefined || now < standing.ejectedUntil) {
		return;
	}

	if (end === attemptEnds.failed) {
		eject(server, now);
		return;
	}

	if (end === attemptEnds.answered) {
		standing.ejectedUntil = undefined;
		standing.rampStartedAt = now;
		server.samples = 0;
		server.failureShare = 0;
	}
}

function eject(server: ServerView, now: number): void {
	const {ejection: standing} = server;
	standing.ejectionCount += 1;
	standing.ejectedUntil =
		now +
		Math.min(
			maximumEjectionMilliseconds,
			baseEjectionMilliseconds * standing.ejectionCount,
		);
}

function countEjectable(service: ServiceView, policy: RoutingPolicy): number {
	const allowed = Math.floor(service.servers.length * policy.ejectionShare);
	const ejected = service.servers.filter(
		server => server.ejection.ejectedUntil !== undefined,
	);
	return allowed - ejected.length;
}

function findMedianLatency(service: ServiceView): number {
	const latencies = service.servers
		.filter(server => server.samples >= minimumSamples)
		.map(server => server.latencyMilliseconds)
		.toSorted((one, other) => one - other);
	return latencies[Math.floor(latencies.length / 2)] ?? Number.POSITIVE_INFINITY;
}

function isOutlier(server: ServerView, median: number, now: number): boolean {
	const bound = median * latencyOutlierFactor + latencyOutlierSlackMilliseconds;
	const silence = server.ownInFlight > 0 ? now - server.unansweredSince : 0;
	if (silence > bound * latencyOutlierFactor) {
		return true;
	}

	return (
		server.samples >= minimumSamples &&
		(server.latencyMilliseconds > bound || server.failureShare > failureOutlierShare)
	);
}

function scoreOutlier(server: ServerView): number {
	return server.failureShare * 1000 + server.latencyMilliseconds;
}
