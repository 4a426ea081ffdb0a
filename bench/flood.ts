/**
 * Measures overload on a small mesh of real processes: first the least urgent rank at ten times the
 * capacity, then the most urgent, then both, and last a single caller within a rank. Each case is an
 * experiment that the load tool runs in its own process; all cases use the same seed.
 *
 * Usage: npm run bench:flood -- [seconds] [seed] [file]
 */
import {execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {stringify} from 'yaml';
import type {RunReport} from '../src/load/index.js';
import {startMesh, type MeshNode} from '../test/support/mesh.js';
import {readProcessUsage} from './process-usage.js';

const nodeCount = 3;
const slots = 10;
const serviceTimeMilliseconds = 300;
const deadlineMilliseconds = 3000;
const warmUpSeconds = 2;
const service = 'booking';
const capacity = (nodeCount * slots * 1000) / serviceTimeMilliseconds;
const root = path.resolve(import.meta.dirname, '..');

type Stream = {
	readonly name: string;
	readonly rank: string;
	readonly ratePerSecond: number;
	readonly callers?: number;
};

type Case = {readonly name: string; readonly streams: readonly Stream[]};

const urgent = {
	name: 'urgent',
	rank: 'urgent',
	ratePerSecond: capacity * 0.1,
	callers: 3,
};
const normal = {
	name: 'normal',
	rank: 'normal',
	ratePerSecond: capacity * 0.3,
	callers: 3,
};
const background = {
	name: 'background',
	rank: 'background',
	ratePerSecond: capacity * 0.6,
	callers: 3,
};
const cases: readonly Case[] = [
	{name: 'urgent alone', streams: [urgent]},
	{name: 'at capacity', streams: [urgent, normal, background]},
	{
		name: 'least urgent floods',
		streams: [urgent, {...background, ratePerSecond: capacity * 10}],
	},
	{
		name: 'most urgent floods',
		streams: [{...urgent, ratePerSecond: capacity * 10}, normal, background],
	},
	{
		name: 'both flood',
		streams: [
			{...urgent, ratePerSecond: capacity * 5},
			normal,
			{...background, ratePerSecond: capacity * 5},
		],
	},
	{
		name: 'one caller floods',
		streams: [
			{name: 'quiet', rank: 'normal', ratePerSecond: capacity * 0.1},
			{name: 'flooding', rank: 'normal', ratePerSecond: capacity * 5},
		],
	},
];

/** Measurements of one stream of one case. */
type Row = {
	readonly case: string;
	readonly stream: string;
	readonly offeredPerSecond: number;
	readonly sent: number;
	readonly ranPerSecond: number;
	readonly servedShare: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly refusalP50: number;
	readonly unknown: number;
	/** Total of all nodes over the whole case. */
	readonly nodeCpuSeconds: number;
};

const seconds = Number(process.argv[2] ?? 5);
const seed = Number(process.argv[3] ?? 1);
const file = process.argv[4];
const execute = promisify(execFile);

async function runCase(nodes: readonly MeshNode[], floodCase: Case): Promise<Row[]> {
	const directory = mkdtempSync(path.join(tmpdir(), 'foxtailtide-flood-'));
	const experiment = path.join(directory, 'experiment.yaml');
	const output = path.join(directory, 'report.json');
	writeFileSync(
		experiment,
		stringify({
			name: floodCase.name,
			seed,
			durationSeconds: seconds + warmUpSeconds,
			warmUpSeconds,
			maximumInFlight: 5000,
			targets: nodes.map(({dataPort}) => `127.0.0.1:${dataPort}`),
			streams: floodCase.streams.map(stream => ({
				...stream,
				service,
				deadlineMilliseconds,
			})),
		}),
	);
	const processIds = nodes.map(node => node.process.child.pid!);
	const before = readProcessUsage(processIds).cpuSeconds;
	const program = path.join(root, 'dist', 'foxtailtide.cjs');
	await execute(process.execPath, [program, 'load', experiment, '--output', output]);
	const nodeCpuSeconds = readProcessUsage(processIds).cpuSeconds - before;
	const report = JSON.parse(readFileSync(output, 'utf8')) as RunReport;
	return report.streams.map((stream, index) => ({
		case: floodCase.name,
		stream: stream.name,
		offeredPerSecond: floodCase.streams[index]!.ratePerSecond,
		sent: stream.sent,
		ranPerSecond: stream.latency.count / seconds,
		servedShare: stream.ran / Math.max(1, stream.ran + stream.notRun + stream.unknown),
		p50: stream.latency.p50,
		p99: stream.latency.p99,
		p999: stream.latency.p999,
		refusalP50: stream.refusalLatency.p50,
		unknown: stream.unknown,
		nodeCpuSeconds,
	}));
}

function print(row: Row): void {
	console.log(
		[
			row.case.padEnd(20),
			row.stream.padEnd(16),
			`offered ${row.offeredPerSecond.toFixed(0).padStart(5)}/s`,
			`ran ${row.ranPerSecond.toFixed(1).padStart(6)}/s`,
			`served ${(row.servedShare * 100).toFixed(2).padStart(6)}%`,
			`p50 ${row.p50.toFixed(1).padStart(6)}`,
			`p99 ${row.p99.toFixed(1).padStart(6)}`,
			`p99.9 ${row.p999.toFixed(1).padStart(6)}`,
			`refused p50 ${row.refusalP50.toFixed(1).padStart(6)} ms`,
			`unknown ${row.unknown}`,
			`nodes' CPU ${row.nodeCpuSeconds.toFixed(1)} s`,
		].join('  '),
	);
}

const cleaners: Array<() => Promise<void> | void> = [];
const cleaner = {
	after(clean: () => Promise<void> | void) {
		cleaners.push(clean);
	},
};
try {
	const nodes = await startMesh(
		cleaner,
		Array.from({length: nodeCount}, () => ({service, slots, serviceTimeMilliseconds})),
	);
	const rows: Row[] = [];
	console.log(`capacity ${capacity}/s, ${seconds} s a case, seed ${seed}`);
	for (const floodCase of cases) {
		const measured = await runCase(nodes, floodCase);
		for (const row of measured) {
			rows.push(row);
			print(row);
		}
	}

	if (file !== undefined) {
		writeFileSync(file, `${JSON.stringify(rows, undefined, 2)}\n`);
	}
} finally {
	for (const clean of cleaners) {
		await clean();
	}
}
