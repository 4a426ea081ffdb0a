/**
 * A queueing simulation that drives the product's routing functions: a few dozen servers with slots
 * and a queue, several ingresses with a load view each, noisy neighbours, stale load reports and
 * false ones. It uses simulated time, without processes or sockets.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {
	updateServers,
	attemptEnds,
	chooseServer,
	createLoadView,
	recordResult,
	recordSent,
	type ChoiceRequest,
	type LoadReport,
	type LoadView,
	type RoutingPolicy,
	type ServerView,
	type ServiceView,
} from '../src/routing/index.js';
import {addEvent, takeEvent, type EventQueue} from './event-queue.js';

export const serverCount = 24;
export const slotsPerServer = 10;
const fixedServiceMilliseconds = 5;
const variableServiceMilliseconds = 5;
const networkMilliseconds = 0.5;
const noisyFactor = 5;
const concurrentNoisyServers = 2;
const minimumNoiseMilliseconds = 5;
const maximumNoiseMilliseconds = 50;
export const deadlineMilliseconds = 100;
const reportLagMilliseconds = 100;
const freezeMilliseconds = 500;
const freezeIntervalMilliseconds = 2000;
const sampleIntervalMilliseconds = 5;
const warmupMilliseconds = 500;

/** Source of the load reports. */
export const reportSources = {
	/** The gate's count when the response is sent. */
	gate: 'gate',
	/** The server's own report, 100 ms old. */
	lagging: 'lagging',
	/** The gate's count; of 24 servers, two report idle, two a constant and two twice their load. */
	lying: 'lying',
} as const;

export type ReportSource = (typeof reportSources)[keyof typeof reportSources];

export type ChoiceExperiment = {
	readonly policy: RoutingPolicy;
	/** Number of nodes that choose servers, each with its own load view. */
	readonly ingresses: number;
	/** Offered load as a share of the capacity that remains after noise and faults. */
	readonly load: number;
	readonly reports: ReportSource;
	/** Number of servers that are slowed by the noise factor for the whole run. */
	readonly stragglers: number;
	/** Number of servers that freeze for 500 ms in every 2 seconds. */
	readonly freezing: number;
	/** Number of servers that fail each request after 1 ms. */
	readonly failing: number;
	readonly seed: number;
	readonly durationMilliseconds: number;
};

export type ChoiceResult = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Share of the requests that failed or exceeded the deadline. */
	readonly missed: number;
	readonly requests: number;
	/** Share of the requests that were sent to failing servers. */
	readonly toFailing: number;
};

type Server = {
	readonly index: number;
	running: number;
	readonly waiting: Job[];
	noisyUntil: number;
	serviceMilliseconds: number;
	/** Recent reports, newest last. */
	readonly recentReports: LoadReport[];
};

type Ingress = {readonly view: LoadView; readonly service: ServiceView};

type Job = {
	readonly ingress: Ingress;
	readonly chosen: ServerView;
	readonly startedAt: number;
};

type Model = {
	readonly experiment: ChoiceExperiment;
	readonly random: () => number;
	readonly events: EventQueue;
	readonly servers: Server[];
	readonly ingresses: Ingress[];
	readonly histogram: Histogram;
	now: number;
	requests: number;
	missed: number;
	toFailing: number;
};

/**
 * Runs one experiment in simulated time.
 *
 * @param experiment the experiment to run
 * @returns latencies in milliseconds, and shares from 0 to 1
 */
export function runChoice(experiment: ChoiceExperiment): ChoiceResult {
	const model = createModel(experiment);
	for (let count = 0; count < concurrentNoisyServers; count += 1) {
		startNoise(model);
	}

	sampleReports(model);
	scheduleArrival(model);
	for (;;) {
		const event = takeEvent(model.events);
		if (event === undefined || event.at > experiment.durationMilliseconds) {
			break;
		}

		model.now = event.at;
		event.run();
	}

	const {histogram, requests, missed, toFailing} = model;
	const quantile = (percent: number) => histogram.getValueAtPercentile(percent) / 1000;
	return {
		p50: quantile(50),
		p99: quantile(99),
		p999: quantile(99.9),
		missed: missed / requests,
		requests,
		toFailing: toFailing / requests,
	};
}

/** Creates a seeded generator of uniform numbers in [0, 1). */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	const range = 2 ** 31;
	return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
}

function createModel(experiment: ChoiceExperiment): Model {
	const candidates = Array.from({length: serverCount}, (_, index) => ({
		nodeId: `node-${index}`,
		region: 'coast',
		failureDomain: `coast-${index % 3}`,
		incarnation: 1,
		slots: slotsPerServer,
	}));
	const ingresses = Array.from({length: experiment.ingresses}, (_, index) => {
		const view = createLoadView({
			nodeId: `ingress-${index}`,
			region: 'coast',
			failureDomain: `coast-${index % 3}`,
		});
		return {view, service: updateServers(view, 'availability', candidates, 0)};
	});
	return {
		experiment,
		random: createRandom(experiment.seed),
		events: [],
		servers: candidates.map((_, index) => createServer(index)),
		ingresses,
		histogram: build({
			highestTrackableValue: 600_000_000,
			numberOfSignificantValueDigits: 3,
		}),
		now: 0,
		requests: 0,
		missed: 0,
		toFailing: 0,
	};
}

function createServer(index: number): Server {
	return {
		index,
		running: 0,
		waiting: [],
		noisyUntil: 0,
		serviceMilliseconds: fixedServiceMilliseconds + variableServiceMilliseconds,
		recentReports: [],
	};
}

function schedule(model: Model, delay: number, run: () => void): void {
	addEvent(model.events, {at: model.now + delay, run});
}

function drawExponential(model: Model, mean: number): number {
	return -Math.log(1 - model.random()) * mean;
}

/** Schedules the next Poisson arrival, at a random ingress. */
function scheduleArrival(model: Model): void {
	const {experiment, random} = model;
	const slowdownLoss =
		(concurrentNoisyServers + experiment.stragglers) * (1 - 1 / noisyFactor);
	const freezeLoss =
		(experiment.freezing * freezeMilliseconds) / freezeIntervalMilliseconds;
	const effectiveServers = serverCount - experiment.failing - slowdownLoss - freezeLoss;
	const mean = fixedServiceMilliseconds + variableServiceMilliseconds;
	const perMillisecond = (experiment.load * effectiveServers * slotsPerServer) / mean;
	schedule(model, drawExponential(model, 1 / perMillisecond), () => {
		scheduleArrival(model);
		sendRequest(model, model.ingresses[Math.floor(random() * experiment.ingresses)]!);
	});
}

const noneExcluded: ReadonlySet<string> = new Set();

function sendRequest(model: Model, ingress: Ingress): void {
	const request: ChoiceRequest = {
		policy: model.experiment.policy,
		rankIndex: 0,
		rankCount: 1,
		bytes: 500,
		excluded: noneExcluded,
		random: model.random,
	};
	const chosen = chooseServer(ingress.view, ingress.service, request, model.now)!;
	recordSent(chosen, model.now);
	const server = model.servers[ingress.service.servers.indexOf(chosen)]!;
	const job = {ingress, chosen, startedAt: model.now};
	schedule(model, networkMilliseconds, () => {
		handleArrival(model, server, job);
	});
}

function handleArrival(model: Model, server: Server, job: Job): void {
	if (isFailing(model, server)) {
		schedule(model, 1, () => {
			sendResponse(model, server, job, true);
		});
		return;
	}

	if (server.running >= slotsPerServer) {
		server.waiting.push(job);
		return;
	}

	serveRequest(model, server, job);
}

function serveRequest(model: Model, server: Server, job: Job): void {
	server.running += 1;
	const isStraggler =
		server.index >= model.experiment.failing &&
		server.index < model.experiment.failing + model.experiment.stragglers;
	const factor = isStraggler || model.now < server.noisyUntil ? noisyFactor : 1;
	const drawnMilliseconds =
		fixedServiceMilliseconds + drawExponential(model, variableServiceMilliseconds);
	const durationMilliseconds =
		drawnMilliseconds * factor + remainingFreezeMilliseconds(model, server);
	schedule(model, durationMilliseconds, () => {
		server.running -= 1;
		server.serviceMilliseconds +=
			(durationMilliseconds - server.serviceMilliseconds) * 0.1;
		sendResponse(model, server, job, false);
		const next = server.waiting.shift();
		if (next !== undefined) {
			serveRequest(model, server, next);
		}
	});
}

function sendResponse(model: Model, server: Server, job: Job, failed: boolean): void {
	const report = createReport(model, server);
	schedule(model, networkMilliseconds, () => {
		const latencyMilliseconds = model.now - job.startedAt;
		const end = failed ? attemptEnds.failed : attemptEnds.answered;
		const result = {end, latencyMilliseconds, report};
		recordResult(job.ingress.service, job.chosen, result, model.now);
		if (job.startedAt < warmupMilliseconds) {
			return;
		}

		model.requests += 1;
		model.missed += failed || latencyMilliseconds > deadlineMilliseconds ? 1 : 0;
		model.toFailing += failed ? 1 : 0;
		model.histogram.recordValue(Math.round(latencyMilliseconds * 1000));
	});
}

/** Remaining time of the current freeze of a server; 0 if it does not freeze now. */
function remainingFreezeMilliseconds(model: Model, server: Server): number {
	if (server.index >= model.experiment.freezing) {
		return 0;
	}

	const cyclePosition =
		(model.now + server.index * freezeMilliseconds) % freezeIntervalMilliseconds;
	return Math.max(0, freezeMilliseconds - cyclePosition);
}

function isFailing(model: Model, server: Server): boolean {
	return server.index < model.experiment.failing;
}

function startNoise(model: Model): void {
	const server = model.servers[Math.floor(model.random() * serverCount)]!;
	const range = maximumNoiseMilliseconds - minimumNoiseMilliseconds;
	const duration = minimumNoiseMilliseconds + model.random() * range;
	server.noisyUntil = Math.max(server.noisyUntil, model.now + duration);
	schedule(model, duration, () => {
		startNoise(model);
	});
}

function createCurrentReport(server: Server): LoadReport {
	return {
		inFlight: server.running,
		queued: server.waiting.length,
		serviceMilliseconds: server.serviceMilliseconds,
		slots: slotsPerServer,
	};
}

function sampleReports(model: Model): void {
	const maximumReports = reportLagMilliseconds / sampleIntervalMilliseconds;
	for (const server of model.servers) {
		server.recentReports.push(createCurrentReport(server));
		if (server.recentReports.length > maximumReports) {
			server.recentReports.shift();
		}
	}

	schedule(model, sampleIntervalMilliseconds, () => {
		sampleReports(model);
	});
}

function createReport(model: Model, server: Server): LoadReport {
	const {reports} = model.experiment;
	if (reports === reportSources.lagging) {
		return server.recentReports[0]!;
	}

	const current = createCurrentReport(server);
	if (reports === reportSources.gate || server.index >= 6) {
		return current;
	}

	if (server.index < 2) {
		return {...current, inFlight: 0, queued: 0, serviceMilliseconds: 1};
	}

	if (server.index < 4) {
		return {inFlight: 3, queued: 0, serviceMilliseconds: 10, slots: slotsPerServer};
	}

	return {...current, inFlight: current.inFlight * 2, queued: current.queued * 2};
}
