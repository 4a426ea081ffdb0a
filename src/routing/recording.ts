/**
 * What a view learns from the requests that it sends and the answers that come back. Only good
 * answers teach latency, so that a server which fails at once never looks quick.
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
/** How far an answer may be from what the report foretold before the report loses weight. */
const predictionToleranceFactor = 3;
const networkSlackMilliseconds = 1;
/** Reports alike in a row, while this node's own count moved, that count as frozen. */
const frozenReportCount = 6;
/** Requests still on the path that a gate can't have counted yet. */
const networkSlackRequests = 2;

/**
 * Counts a request that is sent to a server.
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
 * Learns from the end of an attempt. Call it once for each `recordSent`.
 *
 * @param service changed in place
 * @param server changed in place
 * @param result what came back
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
 * Takes over a report, from an answer or from the reply to a probe.
 *
 * @param service changed in place
 * @param server changed in place
 * @param report the load
 * @param now monotonic time in milliseconds
 */
export function recordReport(
	service: ServiceView,
	server: ServerView,
	report: LoadReport,
	now: number,
): void {
	const isAlike = server.report !== undefined && areEqual(server.report, report);
	const hasMoved = server.ownInFlight !== server.ownInFlightAtReport;
	if (!isAlike) {
		server.unchangedReports = 0;
	} else if (hasMoved) {
		server.unchangedReports += 1;
	}

	const isFrozen = server.unchangedReports >= frozenReportCount;
	const reported = report.inFlight + report.queued;
	const isBelowOwn = reported + networkSlackRequests < server.ownInFlight;
	if (isFrozen || isBelowOwn) {
		server.reportReliability *= reliabilityLossFactor;
	}

	server.report = report;
	server.reportedAt = now;
	server.ownInFlightAtReport = server.ownInFlight;
	const load = reported / Math.max(1, report.slots);
	service.meanLoad += (load - service.meanLoad) * meanLoadWeight;
}

/** A report gains weight when the answer came as it foretold, and loses weight otherwise. */
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
	const foretold = serviceMilliseconds * rounds + networkSlackMilliseconds;
	const isFar =
		latencyMilliseconds > foretold * predictionToleranceFactor ||
		latencyMilliseconds * predictionToleranceFactor < foretold;
	server.reportReliability = isFar
		? server.reportReliability * reliabilityLossFactor
		: server.reportReliability + (1 - server.reportReliability) * reliabilityGain;
	updatePredictionErrors(service, latencyMilliseconds, foretold);
}

/** Errors are capped, so that one long answer doesn't drown what the others tell. */
function updatePredictionErrors(
	service: ServiceView,
	latencyMilliseconds: number,
	foretold: number,
): void {
	const typical = service.meanLatencyMilliseconds;
	const cap = typical * predictionToleranceFactor;
	const reportError = Math.min(cap, Math.abs(latencyMilliseconds - foretold));
	const plainError = Math.min(cap, Math.abs(latencyMilliseconds - typical));
	service.reportErrorMilliseconds +=
		(reportError - service.reportErrorMilliseconds) * errorWeight;
	service.baselineErrorMilliseconds +=
		(plainError - service.baselineErrorMilliseconds) * errorWeight;
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
