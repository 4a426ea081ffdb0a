/**
 * How good a server looks now: how many requests it probably has, and how long one more would
 * probably take there. A report counts less the older it is and the worse it foretold; what
 * remains is what the service's servers are like on the whole, and this node's own count.
 */
import {distances, type Distance, type ServerView, type ServiceView} from './view.js';

/** Age at which a report has lost about two thirds of its weight. */
const reportLifeMilliseconds = 100;
/** Time after which a server's own latency counts for a third against its peers'. */
const latencyLifeMilliseconds = 200;
const failurePenaltyFactor = 20;
const pathMilliseconds: Readonly<Record<Distance, number>> = {
	[distances.failureDomain]: 0,
	[distances.region]: 1,
	[distances.otherRegion]: 16,
};

/**
 * Estimates the requests that a server has, in flight and queued, from everywhere.
 *
 * @param service the service's view
 * @param server the server
 * @param now monotonic time in milliseconds
 * @returns the estimated count
 */
export function estimateRequests(
	service: ServiceView,
	server: ServerView,
	now: number,
): number {
	const typical = service.typicalLoad * server.slots;
	if (server.report === undefined) {
		return Math.max(server.ownInFlight, typical);
	}

	const weight = weighReport(server, now);
	const sinceReport = server.ownInFlight - server.ownInFlightAtReport;
	const reported = server.report.inFlight + server.report.queued + sinceReport;
	const estimate = reported * weight + typical * (1 - weight);
	return Math.max(server.ownInFlight, estimate);
}

/**
 * Estimates how long one more request would take at a server.
 *
 * @param service the service's view
 * @param server the server
 * @param requests what `estimateRequests` says of it
 * @param now monotonic time in milliseconds
 * @returns the latency in milliseconds, errors counted as long waits
 */
export function estimateLatency(
	service: ServiceView,
	server: ServerView,
	requests: number,
	now: number,
): number {
	const rounds = Math.max(1, (requests + 1) / Math.max(1, server.slots));
	const expected = estimateService(service, server, now) * rounds;
	const silence = server.ownInFlight > 0 ? now - server.silentSince : 0;
	const failurePenalty = 1 + server.failureShare * failurePenaltyFactor;
	return Math.max(expected, silence) * failurePenalty + pathMilliseconds[server.distance];
}

/** The weight of a server's last report, 0 to 1. */
function weighReport(server: ServerView, now: number): number {
	return server.trust * Math.exp((server.reportedAt - now) / reportLifeMilliseconds);
}

function estimateService(service: ServiceView, server: ServerView, now: number): number {
	const typical = service.typicalLatencyMilliseconds;
	const ownWeight = Math.exp((server.lastAnswerAt - now) / latencyLifeMilliseconds);
	const own = typical + (server.latencyMilliseconds - typical) * ownWeight;
	if (server.report === undefined) {
		return own;
	}

	const weight = weighReport(server, now);
	return server.report.serviceMilliseconds * weight + own * (1 - weight);
}
