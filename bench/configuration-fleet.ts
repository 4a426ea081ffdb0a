/**
 * Measures how long configuration changes take to be applied in a fleet of node processes, and how
 * many table reads the nodes make while nothing changes.
 *
 * `node --import tsx bench/configuration-fleet.ts --nodes 60 --changes 10` (after a build) prints
 * one line of JSON. Times are read from the nodes' clocks, which are the same on one machine.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {createDocumentText} from '../test/support/configuration.js';
import {
	sendAdministrationRequest,
	startFleet,
	waitForVersion,
	type ConfigurationFleet,
	type FleetNode,
} from '../test/process/configuration-support.js';

const changeTimeoutMilliseconds = 60_000;
const idlePeriodMilliseconds = 10_000;
const failureDomains = 7;

const {values} = parseArgs({
	options: {
		nodes: {type: 'string', default: '60'},
		changes: {type: 'string', default: '10'},
	},
});

type Document = {readonly version: number; readonly appliedAt: string};

/** Changes the configuration at one node and returns the milliseconds until each node applied it. */
async function applyChange(
	fleet: ConfigurationFleet,
	version: number,
): Promise<number[]> {
	const node = fleet.nodes[version % fleet.nodes.length]!;
	const acceptedAt = Date.now();
	const response = await sendAdministrationRequest(node, 'PUT', '/v1/configuration', {
		headers: {'foxtailtide-expected-version': String(version - 1)},
		body: createDocumentText('darkrooms', 100 + version),
	});
	if (response.status !== 200) {
		throw new Error(`configuration change rejected: ${JSON.stringify(response.json)}`);
	}

	await waitForVersion(fleet.nodes, version, changeTimeoutMilliseconds);
	const times = await Promise.all(fleet.nodes.map(readAppliedAt));
	return times.map(appliedAt => appliedAt - acceptedAt);
}

async function readAppliedAt(node: FleetNode): Promise<number> {
	const {json} = await sendAdministrationRequest(node, 'GET', '/v1/state');
	const configuration = json.configuration as {documents: Document[]};
	return Date.parse(configuration.documents[0]!.appliedAt);
}

async function countTableReads(fleet: ConfigurationFleet): Promise<number> {
	const counters = await fleet.readCounters();
	return (counters.reads ?? 0) + (counters.lists ?? 0);
}

function quantile(sorted: readonly number[], share: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!;
}

async function measure(fleet: ConfigurationFleet): Promise<Record<string, number>> {
	await applyChange(fleet, 1);
	const readsBefore = await countTableReads(fleet);
	await sleep(idlePeriodMilliseconds);
	const idleReads = (await countTableReads(fleet)) - readsBefore;
	const times: number[] = [];
	const slowestTimes: number[] = [];
	for (let version = 2; version <= Number(values.changes) + 1; version += 1) {
		const changeTimes = await applyChange(fleet, version);
		times.push(...changeTimes);
		slowestTimes.push(Math.max(...changeTimes));
	}

	times.sort((left, right) => left - right);
	return {
		nodes: fleet.nodes.length,
		failureDomains,
		changes: slowestTimes.length,
		p50Milliseconds: quantile(times, 0.5),
		p99Milliseconds: quantile(times, 0.99),
		slowestMilliseconds: Math.max(...slowestTimes),
		idleTableReadsPerSecond: (idleReads * 1000) / idlePeriodMilliseconds,
	};
}

const cleaners: Array<() => Promise<void> | void> = [];
const cleaner = {
	after(clean: () => Promise<void> | void) {
		cleaners.push(clean);
	},
};

try {
	const fleet = await startFleet(cleaner, Number(values.nodes), failureDomains);
	process.stdout.write(`${JSON.stringify(await measure(fleet))}\n`);
} finally {
	await Promise.all(cleaners.map(async clean => clean()));
}
