/** Counters and latency histograms of the relay, and the listener that serves them as text. */
import {createServer, type Server} from 'node:http';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {CallEnd} from './caller-listener.js';
import type {RelayGateState} from './gate-types.js';

export type RelayMetrics = {
	readonly recordCall: (end: CallEnd) => void;
	readonly recordAttemptEnd: (end: string, milliseconds: number) => void;
	readonly recordMeasuring: (use: string, bytes: number) => void;
	/** Not yet bound. */
	readonly listener: Server;
};

/** How recently the routes were provably the newest ones, and what was refused for lack of it. */
export type ProofFigures = {
	readonly age: () => number;
	readonly countRefusals: () => number;
};

/** Sources that are read when the metrics are requested. */
export type MetricsSources = {
	readonly gate: () => RelayGateState;
	readonly routesVersion: () => number;
	readonly tableEra: () => number;
	readonly members: () => number;
	/** Undefined where routes need no proof of their age. */
	readonly proof: ProofFigures | undefined;
	readonly droppedLines: () => number;
	/** The whole state of the process, for a dump. */
	readonly dump: () => unknown;
};

const bucketsMilliseconds = [
	5, 10, 25, 50, 100, 150, 200, 300, 400, 600, 800, 1200, 2500,
];
const statePath = '/state';

/**
 * Creates the metrics of one process.
 *
 * @param sources what is read when the metrics are requested
 * @returns the metrics with their listener, not yet bound
 */
export function createRelayMetrics(sources: MetricsSources): RelayMetrics {
	const registry = new Registry();
	const registers = [registry];
	const calls = new Histogram({
		name: 'foxtailtide_call_milliseconds',
		help: 'Time from a request to its answer, by status and outcome.',
		labelNames: ['status', 'outcome'],
		buckets: bucketsMilliseconds,
		registers,
	});
	const gateEnds = new Histogram({
		name: 'foxtailtide_gate_milliseconds',
		help: 'Time of requests at the own server, by how they ended.',
		labelNames: ['end'],
		buckets: bucketsMilliseconds,
		registers,
	});
	const measuring = new Counter({
		name: 'foxtailtide_measuring_bytes_total',
		help: 'Bytes spent on measuring load.',
		labelNames: ['use'],
		registers,
	});
	createGauges(sources, registers);
	return {
		recordCall({status, outcome, milliseconds}) {
			calls.observe({status, outcome}, milliseconds);
		},
		recordAttemptEnd(end, milliseconds) {
			gateEnds.observe({end}, milliseconds);
		},
		recordMeasuring(use, bytes) {
			measuring.inc({use}, bytes);
		},
		listener: createMetricsListener(registry, sources.dump),
	};
}

function createGauges(sources: MetricsSources, registers: Registry[]): void {
	const gauges: Array<readonly [string, string, () => number]> = [
		['foxtailtide_running', 'Requests at the own server.', () => sources.gate().running],
		['foxtailtide_waiting', 'Requests that wait for it.', () => sources.gate().waiting],
		[
			'foxtailtide_limit',
			'Requests that it may run at once.',
			() => sources.gate().limit,
		],
		[
			'foxtailtide_server_requests_per_second',
			'Requests a second that the own server takes; infinite if it names no limit.',
			() => sources.gate().requestsPerSecond,
		],
		['foxtailtide_routes_version', 'Version in force.', sources.routesVersion],
		['foxtailtide_table_era', 'Era of the table.', sources.tableEra],
		['foxtailtide_members', 'Nodes that are held alive.', sources.members],
		['foxtailtide_log_lines_dropped', 'Log lines dropped.', sources.droppedLines],
	];
	const {proof} = sources;
	if (proof !== undefined) {
		gauges.push(
			[
				'foxtailtide_proof_age_milliseconds',
				'Time since the routes were provably the newest ones.',
				proof.age,
			],
			[
				'foxtailtide_unproven_refusals',
				'Requests with a key refused because the routes may be outdated.',
				proof.countRefusals,
			],
		);
	}

	for (const [name, help, read] of gauges) {
		const gauge = new Gauge({
			name,
			help,
			registers,
			collect() {
				gauge.set(read());
			},
		});
	}
}

function createMetricsListener(registry: Registry, dump: () => unknown): Server {
	return createServer((request, response) => {
		if (request.url === statePath) {
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify(dump(), undefined, 2));
			return;
		}

		void registry.metrics().then(text => {
			response.writeHead(200, {'content-type': registry.contentType});
			response.end(text);
		});
	});
}
