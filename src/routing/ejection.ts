/**
 * Outlier ejection: servers that fail or are far slower than their peers get no regular requests
 * for a while. At most a configured share of a service's servers is ejected. After the ejection
 * time a server gets one trial request at a time; the first success readmits it, with slow start.
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
 * Ejects outliers, at most once per check interval; otherwise returns at once.
 *
 * @param service changed in place
 * @param policy the routing part of the active preset
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
	let ejectable = countEjectable(service, policy);
	if (ejectable <= 0) {
		return;
	}

	const median = findMedianLatency(service);
	const outliers = service.servers
		.filter(server => server.ejection.ejectedUntil === undefined)
		.filter(server => isOutlier(server, median, now));
	outliers.sort((one, other) => scoreOutlier(other) - scoreOutlier(one));
	for (const server of outliers) {
		if (ejectable === 0) {
			return;
		}

		eject(server, now);
		ejectable -= 1;
	}
}

/**
 * Decides whether a server may get the next request.
 *
 * @param server the server
 * @param now monotonic time in milliseconds
 * @param random returns a number from 0 to 1; drawn during slow start
 * @returns whether it may, possibly only as a trial
 */
export function isUsable(server: ServerView, now: number, random: () => number): boolean {
	const {ejectedUntil, rampStartedAt} = server.ejection;
	if (ejectedUntil !== undefined) {
		return now >= ejectedUntil && server.ownInFlight === 0;
	}

	const share = (now - rampStartedAt) / rampMilliseconds;
	return share >= 1 || random() < Math.max(minimumRampShare, share);
}

/**
 * Readmits an ejected server after a successful trial, or ejects it again after a failed one.
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
	const {ejection} = server;
	if (ejection.ejectedUntil === undefined || now < ejection.ejectedUntil) {
		return;
	}

	if (end === attemptEnds.failed) {
		eject(server, now);
		return;
	}

	if (end === attemptEnds.answered) {
		ejection.ejectedUntil = undefined;
		ejection.rampStartedAt = now;
		server.samples = 0;
		server.failureShare = 0;
	}
}

function eject(server: ServerView, now: number): void {
	const {ejection} = server;
	ejection.ejectionCount += 1;
	ejection.ejectedUntil =
		now +
		Math.min(
			maximumEjectionMilliseconds,
			baseEjectionMilliseconds * ejection.ejectionCount,
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
	const latencyLimit = median * latencyOutlierFactor + latencyOutlierSlackMilliseconds;
	const unansweredMilliseconds =
		server.ownInFlight > 0 ? now - server.unansweredSince : 0;
	if (unansweredMilliseconds > latencyLimit * latencyOutlierFactor) {
		return true;
	}

	return (
		server.samples >= minimumSamples &&
		(server.latencyMilliseconds > latencyLimit ||
			server.failureShare > failureOutlierShare)
	);
}

function scoreOutlier(server: ServerView): number {
	return server.failureShare * 1000 + server.latencyMilliseconds;
}
