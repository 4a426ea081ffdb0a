/**
 * Compares the latency of one and two node hops with a direct call and with plain relays, in one
 * run. Each round sends a block of calls at a fixed rate over each path in turn, so that noise of
 * the VM affects all of them. Latency counts from the intended send time, with at most 1 ms of delay
 * before sending.
 *
 * Usage: npm run bench:hops -- [rate] [rounds] [secondsPerBlock]
 */
import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {sendCall} from '../test/support/http.js';
import {startMesh} from '../test/support/mesh.js';
import {startProcess} from '../test/support/processes.js';
import {readProcessUsage, type ProcessUsage} from './process-usage.js';

type Path = {
	readonly name: string;
	readonly port: number;
	readonly processIds: readonly number[];
	readonly histogram: Histogram;
	usage: ProcessUsage;
	calls: number;
	failed: number;
};

const [rate = 300, rounds = 5, secondsPerBlock = 3] = process.argv.slice(2).map(Number);
const highestMicroseconds = 10_000_000;
const warmUpCalls = 600;
const service = 'availability';
const cleaners: Array<() => Promise<void> | void> = [];
const cleaner = {
	after(clean: () => Promise<void> | void) {
		cleaners.push(clean);
	},
};

function createPath(name: string, port: number, processIds: readonly number[]): Path {
	const histogram = buildHistogram({
		lowestDiscernibleValue: 1,
		highestTrackableValue: highestMicroseconds,
		numberOfSignificantValueDigits: 3,
	});
	return {
		name,
		port,
		processIds,
		histogram,
		usage: {cpuSeconds: 0, residentBytes: 0},
		calls: 0,
		failed: 0,
	};
}

async function startPaths(): Promise<Path[]> {
	const [gate, ingress] = await startMesh(cleaner, [
		{service, slots: 200},
		{service: 'booking', slots: 200},
	]);
	const {serverPort} = gate!;
	const relay = await startProcess<{port: number}>(cleaner, 'plain-relay', [
		String(serverPort),
	]);
	const second = await startProcess<{port: number}>(cleaner, 'plain-relay', [
		String(relay.ready.port),
	]);
	const gateId = gate!.process.child.pid!;
	const ingressId = ingress!.process.child.pid!;
	return [
		createPath('direct', serverPort, []),
		createPath('one plain relay', relay.ready.port, [relay.child.pid!]),
		createPath('two plain relays', second.ready.port, [
			second.child.pid!,
			relay.child.pid!,
		]),
		createPath('one node (ingress is the gate)', gate!.dataPort, [gateId]),
		createPath('two nodes (ingress, gate)', ingress!.dataPort, [ingressId, gateId]),
	];
}

async function runBlock(path: Path, calls: number, agent: Agent): Promise<void> {
	const intervalMilliseconds = 1000 / rate;
	const before = readProcessUsage(path.processIds);
	const start = performance.now();
	const pending: Array<Promise<void>> = [];
	for (let index = 0; index < calls; index += 1) {
		const intendedAt = start + index * intervalMilliseconds;
		const wait = intendedAt - performance.now();
		if (wait > 1) {
			await sleep(wait);
		}

		pending.push(callOnce(path, intendedAt, agent));
	}

	await Promise.all(pending);
	const after = readProcessUsage(path.processIds);
	path.usage = {
		cpuSeconds: path.usage.cpuSeconds + after.cpuSeconds - before.cpuSeconds,
		residentBytes: after.residentBytes,
	};
	path.calls += calls;
}

async function callOnce(path: Path, intendedAt: number, agent: Agent): Promise<void> {
	// A timer may fire early by less than its resolution; of a late send at most 1 ms counts.
	const start = Math.max(intendedAt, performance.now() - 1);
	const response = await sendCall({port: path.port, service, path: '/bays', agent});
	if (response.status !== 200) {
		path.failed += 1;
		return;
	}

	path.histogram.recordValue(Math.max(1, Math.round((performance.now() - start) * 1000)));
}

function summarize(path: Path, direct: Path): Record<string, number | string> {
	const latencyAt = (percentile: number) =>
		path.histogram.getValueAtPercentile(percentile);
	const addedLatencyAt = (percentile: number) =>
		latencyAt(percentile) - direct.histogram.getValueAtPercentile(percentile);
	return {
		path: path.name,
		'p50 us': latencyAt(50),
		'p99 us': latencyAt(99),
		'p99.9 us': latencyAt(99.9),
		'added p50 us': addedLatencyAt(50),
		'added p99 us': addedLatencyAt(99),
		'CPU us a call': Math.round((path.usage.cpuSeconds * 1e6) / path.calls),
		'resident MB': Math.round(path.usage.residentBytes / 1e5) / 10,
		failed: path.failed,
	};
}

const agent = new Agent({keepAlive: true});
try {
	const paths = await startPaths();
	for (const path of paths) {
		await runBlock(path, warmUpCalls, agent);
		path.histogram.reset();
		path.usage = {cpuSeconds: 0, residentBytes: 0};
		path.calls = 0;
	}

	for (let round = 0; round < rounds; round += 1) {
		for (const path of paths) {
			await runBlock(path, rate * secondsPerBlock, agent);
		}
	}

	const rows = paths.map(path => summarize(path, paths[0]!));
	console.table(rows);
	console.log(JSON.stringify({rate, rounds, secondsPerBlock, rows}));
} finally {
	agent.destroy();
	for (const clean of cleaners.toReversed()) {
		await clean();
	}
}
