/** Counters and latency histograms of the relay, and the listener that serves them as text. */
import {createServer, type Server} from 'node:http';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {Distance, LeavingReason} from '../placing/index.js';
import type {CallEnd} from './caller-listener.js';
import type {RelayGateState} from './gate-types.js';

export type RelayMetrics = {
	readonly recordCall: (end: CallEnd) => void;
	readonly recordAttemptEnd: (end: string, milliseconds: number) => void;
	/** Counts a call by where it is sent, and why it leaves its failure domain or stays. */
	readonly recordPlaced: (distance: Distance, reason: LeavingReason | undefined) => void;
	readonly recordMeasuring: (use: string, bytes: number) => void;
	/** Counts how a request of a team with a cap was decided. */
	readonly recordAllowance: (decision: string) => void;
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
	/** Number of evacuated failure domains. */
	readonly evacuatedDomains: () => number;
	readonly members: () => number;
	/** Requests that are suspected, and proven, to crash servers. */
	readonly quarantine: () => {readonly suspects: number; readonly proven: number};
	/** Undefined where routes need no proof of their age. */
	readonly proof: ProofFigures | undefined;
	readonly droppedLines: () => number;
	/** Measured round trips by failure domain, in milliseconds. */
	readonly roundTrips: () => ReadonlyMap<string, number>;
	/** Share of each route's calls that leave the failure domain. */
	readonly leavingShares: () => ReadonlyMap<string, number>;
	/** The whole state of the process, for a dump. */
	readonly dump: () => unknown;
};

const bucketsMilliseconds = [
	5, 10, 25, 50, 100, 150, 200, 300, 400, 600, 800, 1200, 2500,
];
/** Reason of a call that a near gate takes at once. */
const noQuestion = 'near';
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
	const allowances = new Counter({
		name: 'foxtailtide_allowance_requests_total',
		help: 'Requests of teams with a cap, by how they were decided.',
		labelNames: ['decision'],
		registers,
	});
	const placed = new Counter({
		name: 'foxtailtide_calls_placed_total',
		help: 'Calls by the distance of the gate that they are sent to, and why they leave or stay.',
		labelNames: ['distance', 'reason'],
		registers,
	});
	createGauges(sources, registers);
	createLabelledGauge(
		{
			name: 'foxtailtide_round_trip_milliseconds',
			help: 'Measured round trip to another failure domain.',
			label: 'failureDomain',
		},
		sources.roundTrips,
		registers,
	);
	createLabelledGauge(
		{
			name: 'foxtailtide_leaving_share',
			help: 'Share of the calls for which leaving the failure domain pays that leave it.',
			label: 'route',
		},
		sources.leavingShares,
		registers,
	);
	return {
		recordCall({status, outcome, milliseconds}) {
			calls.observe({status, outcome}, milliseconds);
		},
		recordAttemptEnd(end, milliseconds) {
			gateEnds.observe({end}, milliseconds);
		},
		recordPlaced(distance, reason) {
			placed.inc({distance, reason: reason ?? noQuestion});
		},
		recordMeasuring(use, bytes) {
			measuring.inc({use}, bytes);
		},
		recordAllowance(decision) {
			allowances.inc({decision});
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
		[
			'foxtailtide_evacuated_domains',
			'Failure domains whose servers get no new requests.',
			sources.evacuatedDomains,
		],
		['foxtailtide_members', 'Nodes that are held alive.', sources.members],
		[
			'foxtailtide_crash_suspects',
			'Requests that may crash servers and run alone.',
			() => sources.quarantine().suspects,
		],
		[
			'foxtailtide_crash_proven',
			'Requests that are refused since they crash servers.',
			() => sources.quarantine().proven,
		],
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

/** A gauge with one value for each value of its label. */
function createLabelledGauge(
	{
		name,
		help,
		label,
	}: {readonly name: string; readonly help: string; readonly label: string},
	read: () => ReadonlyMap<string, number>,
	registers: Registry[],
): void {
	const gauge = new Gauge({
		name,
		help,
		labelNames: [label],
		registers,
		collect() {
			gauge.reset();
			for (const [key, value] of read()) {
				gauge.set({[label]: key}, value);
			}
		},
	});
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
