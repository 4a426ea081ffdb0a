/**
 * Estimates the number of requests at a server and the cost of sending one more. This node's own
 * count is never stale and is a lower bound of the estimate. A report has less weight the older it
 * is, the worse the server's reports predict its latency, and the worse all reports of the service
 * do; the remaining weight goes to the mean of the service.
 */
import {distances, type Distance, type ServerView, type ServiceView} from './view.js';

/** Age at which a report has lost about two thirds of its weight (time constant of the decay). */
const reportDecayMilliseconds = 100;
/** Time after the last response at which a server's own latency has a third of its weight. */
const latencyDecayMilliseconds = 200;
const failurePenaltyFactor = 20;
/** Ratio of the reports' prediction error to the mean's at which their weight would be zero. */
const zeroWeightErrorRatio = 1.1;
const errorRatioSpan = 0.2;
const minimumServiceReportWeight = 0.1;
const networkMilliseconds: Readonly<Record<Distance, number>> = {
	[distances.failureDomain]: 0,
	[distances.region]: 1,
	[distances.otherRegion]: 16,
};

/**
 * Estimates the requests in flight and queued at a server, from all nodes.
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
	const meanRequests = service.meanLoad * server.slots;
	if (server.report === undefined) {
		return Math.max(server.ownInFlight, meanRequests);
	}

	const weight = computeReportWeight(service, server, now);
	const sinceReport = server.ownInFlight - server.ownInFlightAtReport;
	const reported = server.report.inFlight + server.report.queued + sinceReport;
	const estimate = reported * weight + meanRequests * (1 - weight);
	return Math.max(server.ownInFlight, estimate);
}

/**
 * Estimates the cost of one more request at a server: the expected latency times the square of this
 * node's own requests there, so that requests spread over servers with similar estimates.
 *
 * @param service the service's view
 * @param server the server
 * @param requests the result of `estimateRequests`
 * @param now monotonic time in milliseconds
 * @returns the cost in milliseconds; lower is better
 */
export function estimateCost(
	service: ServiceView,
	server: ServerView,
	requests: number,
	now: number,
): number {
	const load = requests / Math.max(1, server.slots);
	const expected = estimateServiceTime(service, server, now) * (1 + load);
	const unansweredMilliseconds =
		server.ownInFlight > 0 ? now - server.unansweredSince : 0;
	const failurePenalty = 1 + server.failureShare * failurePenaltyFactor;
	const spreadFactor = (1 + server.ownInFlight) ** 2;
	const latency = Math.max(expected, unansweredMilliseconds) * failurePenalty;
	return latency * spreadFactor + networkMilliseconds[server.distance];
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

/** The weight of all reports of the service, by how well they predict compared with the mean. */
function computeServiceReportWeight(service: ServiceView): number {
	if (service.baselineErrorMilliseconds === 0) {
		return 1;
	}

	const ratio = service.reportErrorMilliseconds / service.baselineErrorMilliseconds;
	const rawWeight = (zeroWeightErrorRatio - ratio) / errorRatioSpan;
	return Math.min(1, Math.max(minimumServiceReportWeight, rawWeight));
}

function estimateServiceTime(
	service: ServiceView,
	server: ServerView,
	now: number,
): number {
	const meanLatency = service.meanLatencyMilliseconds;
	const ownWeight = Math.exp((server.lastResponseAt - now) / latencyDecayMilliseconds);
	const ownEstimate =
		meanLatency + (server.latencyMilliseconds - meanLatency) * ownWeight;
	if (server.report === undefined) {
		return ownEstimate;
	}

	const weight = computeReportWeight(service, server, now);
	return server.report.serviceMilliseconds * weight + ownEstimate * (1 - weight);
}
