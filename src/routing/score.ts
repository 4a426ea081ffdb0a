/**
 * How good a server looks now: how many requests it probably has, and how long one more would
 * probably take there. This node's own count weighs most, since it is never old. A report counts
 * less the older it is, the worse it foretold its server's answers, and the worse all reports of
 * the service did; what remains is what the service's servers are like on the whole.
 */
import {distances, type Distance, type ServerView, type ServiceView} from './view.js';

/** Age at which a report has lost about two thirds of its weight. */
const reportDecayMilliseconds = 100;
/** Time after which a server's own latency counts for a third against its peers'. */
const latencyDecayMilliseconds = 200;
const failurePenaltyFactor = 20;
/** How much worse than a plain mean reports may foretell before they lose all weight. */
const zeroWeightErrorRatio = 1.1;
const errorRatioSpan = 0.2;
const minimumServiceReportWeight = 0.1;
const networkMilliseconds: Readonly<Record<Distance, number>> = {
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
	const typical = service.meanLoad * server.slots;
	if (server.report === undefined) {
		return Math.max(server.ownInFlight, typical);
	}

	const weight = computeReportWeight(service, server, now);
	const sinceReport = server.ownInFlight - server.ownInFlightAtReport;
	const reported = server.report.inFlight + server.report.queued + sinceReport;
	const estimate = reported * weight + typical * (1 - weight);
	return Math.max(server.ownInFlight, estimate);
}

/**
 * Weighs what one more request would cost at a server: the expected latency, raised by the square
 * of this node's own requests there, so that servers which look alike share them out.
 *
 * @param service the service's view
 * @param server the server
 * @param requests what `estimateRequests` says of it
 * @param now monotonic time in milliseconds
 * @returns a cost in milliseconds; less is better
 */
export function estimateCost(
	service: ServiceView,
	server: ServerView,
	requests: number,
	now: number,
): number {
	const load = requests / Math.max(1, server.slots);
	const expected = estimateServiceTime(service, server, now) * (1 + load);
	const silence = server.ownInFlight > 0 ? now - server.unansweredSince : 0;
	const failurePenalty = 1 + server.failureShare * failurePenaltyFactor;
	const crowding = (1 + server.ownInFlight) ** 2;
	const latency = Math.max(expected, silence) * failurePenalty;
	return latency * crowding + networkMilliseconds[server.distance];
}

/** The weight of a server's last report, 0 to 1. */
function computeReportWeight(
	service: ServiceView,
	server: ServerView,
	now: number,
): number {
	const age = now - server.reportedAt;
	const freshness = Math.exp(-age / reportDecayMilliseconds);
	return server.reportReliability * freshness * computeServiceReportWeight(service);
}

/** What reports of the service are worth at all: how they foretell against a plain mean. */
function computeServiceReportWeight(service: ServiceView): number {
	if (service.baselineErrorMilliseconds === 0) {
		return 1;
	}

	const ratio = service.reportErrorMilliseconds / service.baselineErrorMilliseconds;
	const skill = (zeroWeightErrorRatio - ratio) / errorRatioSpan;
	return Math.min(1, Math.max(minimumServiceReportWeight, skill));
}

function estimateServiceTime(
	service: ServiceView,
	server: ServerView,
	now: number,
): number {
	const typical = service.meanLatencyMilliseconds;
	const ownWeight = Math.exp((server.lastResponseAt - now) / latencyDecayMilliseconds);
	const own = typical + (server.latencyMilliseconds - typical) * ownWeight;
	if (server.report === undefined) {
		return own;
	}

	const weight = computeReportWeight(service, server, now);
	return server.report.serviceMilliseconds * weight + own * (1 - weight);
}
