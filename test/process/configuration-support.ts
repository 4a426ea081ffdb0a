/** Starts a fleet of node processes without servers, with the stand-in table and administration. */
import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {createTableClient} from '../../src/table/index.js';
import {
	findFreePorts,
	startProcess,
	writeSettings,
	type Cleaner,
	type StartedProcess,
} from '../support/processes.js';

const portsPerNode = 5;
const seedCount = 3;
const concurrentStarts = 8;
const pollMilliseconds = 50;
const token = 'operator-of-the-tests';

export type FleetNode = {
	readonly nodeId: string;
	readonly settingsFile: string;
	readonly dataPort: number;
	readonly administrationPort: number;
	process: StartedProcess<unknown>;
};

export type ConfigurationFleet = {
	readonly nodes: FleetNode[];
	readonly setFaults: (faults: unknown) => Promise<void>;
	readonly readCounters: () => Promise<Record<string, number>>;
	/** Changes a row of the table directly, not through a node. */
	readonly rewriteRow: (key: string, change: (value: string) => string) => Promise<void>;
};

export type ApiResponse = {
	readonly status: number;
	readonly json: Record<string, unknown>;
};

/** Starts the table and the nodes, spread over failure domains, without a configuration. */
export async function startFleet(
	cleaner: Cleaner,
	size: number,
	failureDomains: number,
): Promise<ConfigurationFleet> {
	const table = await startProcess<{port: number}>(cleaner, 'stand-in-table', []);
	const address = `http://127.0.0.1:${table.ready.port}`;
	const ports = await findFreePorts(size * portsPerNode);
	const seeds = Array.from(
		{length: Math.min(size, seedCount)},
		(_, index) => `127.0.0.1:${ports[index * portsPerNode + 2]!}`,
	);
	const nodes: FleetNode[] = [];
	for (let begin = 0; begin < size; begin += concurrentStarts) {
		const count = Math.min(concurrentStarts, size - begin);
		const started = await Promise.all(
			Array.from({length: count}, async (_, offset) => {
				const index = begin + offset;
				const own = ports.slice(index * portsPerNode, (index + 1) * portsPerNode);
				const failureDomain = `domain-${index % failureDomains}`;
				return startNode(cleaner, {index, ports: own, failureDomain, seeds, address});
			}),
		);
		nodes.push(...started);
	}

	return {
		nodes,
		async setFaults(faults) {
			await fetch(`${address}/faults`, {method: 'PUT', body: JSON.stringify(faults)});
		},
		async rewriteRow(key, change) {
			const client = createTableClient({address});
			const row = await client.read(key);
			const {value, version} = row._unsafeUnwrap()!;
			const written = await client.write(key, change(value), {kind: 'version', version});
			client.close();
			written._unsafeUnwrap();
		},
		async readCounters() {
			const response = await fetch(`${address}/counters`);
			return (await response.json()) as Record<string, number>;
		},
	};
}

type NodeStartOptions = {
	readonly index: number;
	readonly ports: readonly number[];
	readonly failureDomain: string;
	readonly seeds: readonly string[];
	readonly address: string;
};

async function startNode(
	cleaner: Cleaner,
	options: NodeStartOptions,
): Promise<FleetNode> {
	const [data, peer, control, local, administration] = options.ports;
	const {failureDomain, seeds, address} = options;
	const nodeId = `node-${options.index}`;
	const sha256 = createHash('sha256').update(token).digest('hex');
	const settingsFile = writeSettings({
		node: {id: nodeId, host: '127.0.0.1', region: 'coast', failureDomain},
		listeners: {data, peer, control, local, administration},
		seeds,
		platform: {table: address},
		administration: {tokens: [{team: 'darkrooms', role: 'operate', sha256}]},
	});
	const node = {
		nodeId,
		settingsFile,
		dataPort: data!,
		administrationPort: administration!,
	};
	return {...node, process: await startProgram(cleaner, settingsFile)};
}

async function startProgram(cleaner: Cleaner, settingsFile: string) {
	return startProcess(cleaner, 'foxtailtide', ['node', '--settings', settingsFile]);
}

/** Kills a node and restarts it at the same address, without its former state. */
export async function restartNode(cleaner: Cleaner, node: FleetNode): Promise<void> {
	node.process.signal('SIGKILL');
	await node.process.ended;
	node.process = await startProgram(cleaner, node.settingsFile);
}

/** Sends a request to a node's administration API; status 0 means that there was no response. */
export async function sendAdministrationRequest(
	node: FleetNode,
	method: string,
	path: string,
	options: {headers?: Record<string, string>; body?: string} = {},
): Promise<ApiResponse> {
	try {
		const response = await fetch(`http://127.0.0.1:${node.administrationPort}${path}`, {
			method,
			headers: {authorization: `Bearer ${token}`, ...options.headers},
			body: options.body,
		});
		return {
			status: response.status,
			json: (await response.json()) as Record<string, unknown>,
		};
	} catch {
		return {status: 0, json: {}};
	}
}

/** Version applied at a node by its state dump, 0 for none; `undefined` without a response. */
export async function readVersion(node: FleetNode): Promise<number | undefined> {
	const {status, json} = await sendAdministrationRequest(node, 'GET', '/v1/state');
	if (status !== 200) {
		return undefined;
	}

	const configuration = json.configuration as {documents: Array<{version: number}>};
	return configuration.documents[0]?.version ?? 0;
}

/** Waits until all nodes apply at least a version; returns the milliseconds it took. */
export async function waitForVersion(
	nodes: readonly FleetNode[],
	version: number,
	boundMilliseconds: number,
): Promise<number> {
	const startedAt = performance.now();
	let waiting = [...nodes];
	while (performance.now() - startedAt < boundMilliseconds) {
		const versions = await Promise.all(waiting.map(readVersion));
		waiting = waiting.filter((_, index) => (versions[index] ?? 0) < version);
		if (waiting.length === 0) {
			return performance.now() - startedAt;
		}

		await sleep(pollMilliseconds);
	}

	const names = waiting.map(({nodeId}) => nodeId).join(', ');
	throw new Error(`version ${version} was not applied in time at ${names}`);
}
