/**
 * Measures how fast changes are in force in a fleet of node processes, and what following costs
 * the table.
 *
 * `node --import tsx bench/configuration-fleet.ts --nodes 60 --changes 10` (after a build) prints
 * one line of JSON. Times are those of the nodes' own clocks, which are one on one machine.
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

const boundMilliseconds = 60_000;
const idleMilliseconds = 10_000;
const failureDomains = 7;

const {values} = parseArgs({
	options: {
		nodes: {type: 'string', default: '60'},
		changes: {type: 'string', default: '10'},
	},
});

type Document = {readonly version: number; readonly appliedAt: string};

/** Changes the configuration at one node and gives how long each node took. */
async function change(fleet: ConfigurationFleet, version: number): Promise<number[]> {
	const node = fleet.nodes[version % fleet.nodes.length]!;
	const acceptedAt = Date.now();
	const answer = await sendAdministrationRequest(node, 'PUT', '/v1/configuration', {
		headers: {'foxtailtide-expected-version': String(version - 1)},
		body: createDocumentText('darkrooms', 100 + version),
	});
	if (answer.status !== 200) {
		throw new Error(`change refused: ${JSON.stringify(answer.json)}`);
	}

	await waitForVersion(fleet.nodes, version, boundMilliseconds);
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
	await change(fleet, 1);
	const readsBefore = await countTableReads(fleet);
	await sleep(idleMilliseconds);
	const idleReads = (await countTableReads(fleet)) - readsBefore;
	const times: number[] = [];
	const slowest: number[] = [];
	for (let version = 2; version <= Number(values.changes) + 1; version += 1) {
		const taken = await change(fleet, version);
		times.push(...taken);
		slowest.push(Math.max(...taken));
	}

	times.sort((left, right) => left - right);
	return {
		nodes: fleet.nodes.length,
		failureDomains,
		changes: slowest.length,
		p50Milliseconds: quantile(times, 0.5),
		p99Milliseconds: quantile(times, 0.99),
		slowestMilliseconds: Math.max(...slowest),
		idleTableReadsPerSecond: (idleReads * 1000) / idleMilliseconds,
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
