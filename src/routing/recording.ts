/**
 * Updates a view from requests sent, their results and load reports. Only successful responses
 * count towards latency, so that a server that fails immediately never looks fast.
 */
import {attemptEnds, type AttemptResult} from './attempt.js';
import {recordTrialResult} from './ejection.js';
import {type LoadReport} from './load-report.js';
import {type ServerView, type ServiceView} from './view.js';

const latencyWeight = 0.2;
const meanLatencyWeight = 0.02;
const meanLoadWeight = 0.02;
const failureWeight = 0.1;
const errorWeight = 0.01;
const reliabilityGain = 0.05;
const reliabilityLossFactor = 0.8;
/** Factor by which a latency may differ from the predicted one before reliability drops. */
const predictionToleranceFactor = 3;
const networkSlackMilliseconds = 1;
/** Reports count as frozen after this many equal ones while this node's own count changed. */
const frozenReportCount = 6;
/** Requests in transit that the gate cannot have counted yet. */
const networkSlackRequests = 2;

/**
 * Records that a request is sent to a server.
 *
 * @param server changed in place
 * @param now monotonic time in milliseconds
 */
export function recordSent(server: ServerView, now: number): void {
	if (server.ownInFlight === 0) {
		server.unansweredSince = now;
	}

	server.ownInFlight += 1;
}

/**
 * Records the result of an attempt. Call it once for each `recordSent`.
 *
 * @param service changed in place
 * @param server changed in place
 * @param result the result
 * @param now monotonic time in milliseconds
 */
export function recordResult(
	service: ServiceView,
	server: ServerView,
	result: AttemptResult,
	now: number,
): void {
	if (result.end === attemptEnds.answered) {
		rateReport(service, server, result.latencyMilliseconds);
		updateLatency(service, server, result.latencyMilliseconds);
	}

	if (result.end === attemptEnds.answered || result.end === attemptEnds.failed) {
		const failed = result.end === attemptEnds.failed ? 1 : 0;
		server.failureShare += (failed - server.failureShare) * failureWeight;
		server.samples += 1;
	}

	recordTrialResult(server, result.end, now);
	if (result.end !== attemptEnds.abandoned) {
		server.unansweredSince = now;
		server.lastResponseAt = now;
	}

	if (result.report !== undefined) {
		recordReport(service, server, result.report, now);
	}

	server.ownInFlight = Math.max(0, server.ownInFlight - 1);
}

/**
 * Records a load report, from a response or from the reply to a probe.
 *
 * @param service changed in place
 * @param server changed in place
 * @param report the report
 * @param now monotonic time in milliseconds
 */
export function recordReport(
	service: ServiceView,
	server: ServerView,
	report: LoadReport,
	now: number,
): void {
	const isUnchanged = server.report !== undefined && areEqual(server.report, report);
	const hasOwnCountChanged = server.ownInFlight !== server.ownInFlightAtReport;
	if (!isUnchanged) {
		server.unchangedReports = 0;
	} else if (hasOwnCountChanged) {
		server.unchangedReports += 1;
	}

	const isFrozen = server.unchangedReports >= frozenReportCount;
	const reported = report.inFlight + report.queued;
	const isBelowOwnCount = reported + networkSlackRequests < server.ownInFlight;
	if (isFrozen || isBelowOwnCount) {
		server.reportReliability *= reliabilityLossFactor;
	}

	server.report = report;
	server.reportedAt = now;
	server.ownInFlightAtReport = server.ownInFlight;
	const load = reported / Math.max(1, report.slots);
	service.meanLoad += (load - service.meanLoad) * meanLoadWeight;
}

/** Raises the reliability of reports if the latency is close to the predicted one, else lowers it. */
function rateReport(
	service: ServiceView,
	server: ServerView,
	latencyMilliseconds: number,
): void {
	if (server.report === undefined) {
		return;
	}

	const {inFlight, queued, serviceMilliseconds, slots} = server.report;
	const rounds = Math.max(1, (inFlight + queued) / Math.max(1, slots));
	const predicted = serviceMilliseconds * rounds + networkSlackMilliseconds;
	const isOutOfTolerance =
		latencyMilliseconds > predicted * predictionToleranceFactor ||
		latencyMilliseconds * predictionToleranceFactor < predicted;
	server.reportReliability = isOutOfTolerance
		? server.reportReliability * reliabilityLossFactor
		: server.reportReliability + (1 - server.reportReliability) * reliabilityGain;
	updatePredictionErrors(service, latencyMilliseconds, predicted);
}

/** Errors are capped, so that a single slow response does not dominate the moving averages. */
function updatePredictionErrors(
	service: ServiceView,
	latencyMilliseconds: number,
	predicted: number,
): void {
	const meanLatency = service.meanLatencyMilliseconds;
	const cap = meanLatency * predictionToleranceFactor;
	const reportError = Math.min(cap, Math.abs(latencyMilliseconds - predicted));
	const baselineError = Math.min(cap, Math.abs(latencyMilliseconds - meanLatency));
	service.reportErrorMilliseconds +=
		(reportError - service.reportErrorMilliseconds) * errorWeight;
	service.baselineErrorMilliseconds +=
		(baselineError - service.baselineErrorMilliseconds) * errorWeight;
}

function updateLatency(
	service: ServiceView,
	server: ServerView,
	latencyMilliseconds: number,
): void {
	const weight = server.samples === 0 ? 1 : latencyWeight;
	server.latencyMilliseconds +=
		(latencyMilliseconds - server.latencyMilliseconds) * weight;
	service.meanLatencyMilliseconds +=
		(latencyMilliseconds - service.meanLatencyMilliseconds) * meanLatencyWeight;
}

function areEqual(one: LoadReport, other: LoadReport): boolean {
	return (
		one.inFlight === other.inFlight &&
		one.queued === other.queued &&
		one.serviceMilliseconds === other.serviceMilliseconds
	);
}
