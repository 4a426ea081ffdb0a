/**
 * A queueing model that drives the routing decisions: a few dozen servers with slots and a queue,
 * a few ingresses with a view each, noisy neighbours, reports that lag and servers that lie. It
 * knows nothing of processes or sockets; the decision functions are the product's own.
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
const pathMilliseconds = 0.5;
const noisyFactor = 5;
const noisyAtOnce = 2;
const shortestNoiseMilliseconds = 5;
const longestNoiseMilliseconds = 50;
export const deadlineMilliseconds = 100;
const reportLagMilliseconds = 100;
const freezeMilliseconds = 500;
const freezeEveryMilliseconds = 2000;
const sampleEveryMilliseconds = 5;
const warmupMilliseconds = 500;

/** Where the reports come from. */
export const reportSources = {
	/** The gate's count at the time of the answer. */
	gate: 'gate',
	/** The server's own word, as it stood 100 ms before. */
	lagging: 'lagging',
	/** The gate's count, but of 24 servers two say idle, two never change, two say double. */
	lying: 'lying',
} as const;

export type ReportSource = (typeof reportSources)[keyof typeof reportSources];

export type ChoiceExperiment = {
	readonly policy: RoutingPolicy;
	/** Nodes that choose, each with its own view. */
	readonly ingresses: number;
	/** Share of the servers' capacity, noise taken off, that is offered. */
	readonly load: number;
	readonly reports: ReportSource;
	/** Servers that are slow by the noise factor for the whole run. */
	readonly stragglers: number;
	/** Servers that stand still for half a second in every two. */
	readonly freezing: number;
	/** Servers that fail each request after one millisecond. */
	readonly failing: number;
	readonly seed: number;
	readonly durationMilliseconds: number;
};

export type ChoiceResult = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Share of the requests that were answered late or failed. */
	readonly missed: number;
	readonly requests: number;
	/** Share of the requests that went to failing servers. */
	readonly toFailing: number;
};

type Server = {
	readonly index: number;
	running: number;
	readonly waiting: Job[];
	noisyUntil: number;
	serviceMilliseconds: number;
	/** Reports of the past, newest last. */
	readonly past: LoadReport[];
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
 * @param experiment what to run
 * @returns latencies in milliseconds and shares
 */
export function runChoice(experiment: ChoiceExperiment): ChoiceResult {
	const model = createModel(experiment);
	for (let source = 0; source < noisyAtOnce; source += 1) {
		makeNoise(model);
	}

	sampleReports(model);
	arrive(model);
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

/** A uniform random from 0 to 1 that repeats itself for a seed. */
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
		past: [],
	};
}

function schedule(model: Model, delay: number, run: () => void): void {
	addEvent(model.events, {at: model.now + delay, run});
}

function drawExponential(model: Model, mean: number): number {
	return -Math.log(1 - model.random()) * mean;
}

/** Poisson arrivals at a random ingress. */
function arrive(model: Model): void {
	const {experiment, random} = model;
	const slow = (noisyAtOnce + experiment.stragglers) * (1 - 1 / noisyFactor);
	const still = (experiment.freezing * freezeMilliseconds) / freezeEveryMilliseconds;
	const sound = serverCount - experiment.failing - slow - still;
	const mean = fixedServiceMilliseconds + variableServiceMilliseconds;
	const perMillisecond = (experiment.load * sound * slotsPerServer) / mean;
	schedule(model, drawExponential(model, 1 / perMillisecond), () => {
		arrive(model);
		send(model, model.ingresses[Math.floor(random() * experiment.ingresses)]!);
	});
}

const noneExcluded: ReadonlySet<string> = new Set();

function send(model: Model, ingress: Ingress): void {
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
	schedule(model, pathMilliseconds, () => {
		reach(model, server, job);
	});
}

function reach(model: Model, server: Server, job: Job): void {
	if (isFailing(model, server)) {
		schedule(model, 1, () => {
			answer(model, server, job, true);
		});
		return;
	}

	if (server.running >= slotsPerServer) {
		server.waiting.push(job);
		return;
	}

	serve(model, server, job);
}

function serve(model: Model, server: Server, job: Job): void {
	server.running += 1;
	const isStraggler =
		server.index >= model.experiment.failing &&
		server.index < model.experiment.failing + model.experiment.stragglers;
	const factor = isStraggler || model.now < server.noisyUntil ? noisyFactor : 1;
	const drawn =
		fixedServiceMilliseconds + drawExponential(model, variableServiceMilliseconds);
	const took = drawn * factor + stillFor(model, server);
	schedule(model, took, () => {
		server.running -= 1;
		server.serviceMilliseconds += (took - server.serviceMilliseconds) * 0.1;
		answer(model, server, job, false);
		const next = server.waiting.shift();
		if (next !== undefined) {
			serve(model, server, next);
		}
	});
}

function answer(model: Model, server: Server, job: Job, failed: boolean): void {
	const report = reportOf(model, server);
	schedule(model, pathMilliseconds, () => {
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

/** How long a server that freezes still stands, from now. */
function stillFor(model: Model, server: Server): number {
	if (server.index >= model.experiment.freezing) {
		return 0;
	}

	const intoCycle =
		(model.now + server.index * freezeMilliseconds) % freezeEveryMilliseconds;
	return Math.max(0, freezeMilliseconds - intoCycle);
}

function isFailing(model: Model, server: Server): boolean {
	return server.index < model.experiment.failing;
}

function makeNoise(model: Model): void {
	const server = model.servers[Math.floor(model.random() * serverCount)]!;
	const span = longestNoiseMilliseconds - shortestNoiseMilliseconds;
	const duration = shortestNoiseMilliseconds + model.random() * span;
	server.noisyUntil = Math.max(server.noisyUntil, model.now + duration);
	schedule(model, duration, () => {
		makeNoise(model);
	});
}

function countNow(server: Server): LoadReport {
	return {
		inFlight: server.running,
		queued: server.waiting.length,
		serviceMilliseconds: server.serviceMilliseconds,
		slots: slotsPerServer,
	};
}

function sampleReports(model: Model): void {
	const kept = reportLagMilliseconds / sampleEveryMilliseconds;
	for (const server of model.servers) {
		server.past.push(countNow(server));
		if (server.past.length > kept) {
			server.past.shift();
		}
	}

	schedule(model, sampleEveryMilliseconds, () => {
		sampleReports(model);
	});
}

function reportOf(model: Model, server: Server): LoadReport {
	const {reports} = model.experiment;
	if (reports === reportSources.lagging) {
		return server.past[0]!;
	}

	const counted = countNow(server);
	if (reports === reportSources.gate || server.index >= 6) {
		return counted;
	}

	if (server.index < 2) {
		return {...counted, inFlight: 0, queued: 0, serviceMilliseconds: 1};
	}

	if (server.index < 4) {
		return {inFlight: 3, queued: 0, serviceMilliseconds: 10, slots: slotsPerServer};
	}

	return {...counted, inFlight: counted.inFlight * 2, queued: counted.queued * 2};
}
