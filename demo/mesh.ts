/** The demo's mesh: the table stand-in, and four nodes in two regions with a server each. */
import {createHash, randomBytes} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {stringify} from 'yaml';
import {runCommand, startProcess, type DemoProcess} from './processes.js';

const waitTimeoutMilliseconds = 30_000;
const pollIntervalMilliseconds = 200;
const portsPerNode = 5;
const host = '127.0.0.1';
const team = 'darkrooms';

/** One node of the demo. */
export type MeshNode = {
	readonly id: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly service: string;
	readonly ports: {
		readonly data: number;
		readonly peer: number;
		readonly control: number;
		readonly local: number;
		readonly administration: number;
	};
};

export type Mesh = {
	readonly nodes: readonly MeshNode[];
	/** Environment variables with which a command reaches a node. */
	readonly environmentOf: (node: MeshNode) => Readonly<Record<string, string>>;
	/** Waits until a condition holds; rejects after 30 seconds. */
	readonly waitUntil: (condition: () => Promise<boolean>) => Promise<void>;
	/** Shuts every process down gracefully. */
	readonly stop: () => Promise<void>;
};

/** Creates two nodes in each of two regions, one for each service. */
function createNodes(firstPort: number): MeshNode[] {
	return [
		createNode(firstPort, 0, 'coast', 'availability'),
		createNode(firstPort, 1, 'coast', 'booking'),
		createNode(firstPort, 2, 'inland', 'availability'),
		createNode(firstPort, 3, 'inland', 'booking'),
	];
}

function createNode(
	firstPort: number,
	index: number,
	region: string,
	service: string,
): MeshNode {
	const port = firstPort + index * portsPerNode;
	return {
		id: `${region}-${index}`,
		region,
		failureDomain: `${region}-a`,
		service,
		ports: {
			data: port,
			peer: port + 1,
			control: port + 2,
			local: port + 3,
			administration: port + 4,
		},
	};
}

/**
 * Starts the mesh and applies the example configuration.
 *
 * @param firstPort first of 20 consecutive ports that the nodes listen on
 * @returns the mesh, once both services respond through every node
 */
export async function createMesh(firstPort: number): Promise<Mesh> {
	const nodes = createNodes(firstPort);
	const directory = mkdtempSync(path.join(tmpdir(), 'foxtailtide-demo-'));
	const token = randomBytes(32).toString('hex');
	const processes: DemoProcess[] = [];
	const mesh: Mesh = {
		nodes,
		environmentOf: node => createEnvironment(node, token),
		waitUntil,
		async stop() {
			// The table stops last, after the servers and nodes.
			await Promise.all(processes.slice(1).map(async ({stop}) => stop()));
			await processes[0]?.stop();
			rmSync(directory, {recursive: true});
		},
	};
	try {
		await startAll(processes, nodes, {directory, token});
		await applyConfiguration(mesh);
	} catch (error) {
		await mesh.stop();
		throw error;
	}

	return mesh;
}

function createEnvironment(node: MeshNode, token: string): Record<string, string> {
	return Object.fromEntries([
		['FOXTAILTIDE_ADMINISTRATION', `http://${host}:${node.ports.administration}`],
		['FOXTAILTIDE_TOKEN', token],
	]);
}

async function startAll(
	processes: DemoProcess[],
	nodes: readonly MeshNode[],
	{directory, token}: {readonly directory: string; readonly token: string},
): Promise<void> {
	const table = await startProcess('stand-in-table', []);
	processes.push(table);
	const tableUrl = `http://${host}:${table.ports.port}`;
	const seeds = nodes.map(({ports}) => `${host}:${ports.control}`);
	for (const node of nodes) {
		const file = path.join(directory, `${node.id}.yaml`);
		writeFileSync(
			file,
			stringify({...createSettings(node, token), seeds, platform: {table: tableUrl}}),
		);
		const nodeProcess = await startProcess('foxtailtide', ['node', '--settings', file]);
		processes.push(nodeProcess);
		const server = await startServer(node);
		processes.push(server);
	}
}

async function startServer(node: MeshNode): Promise<DemoProcess> {
	return startProcess('stand-in-server', [
		'--service',
		node.service,
		'--name',
		`server-of-${node.id}`,
		'--local',
		`${host}:${node.ports.local}`,
	]);
}

function createSettings(node: MeshNode, token: string): Record<string, unknown> {
	return {
		node: {
			id: node.id,
			host,
			region: node.region,
			failureDomain: node.failureDomain,
		},
		listeners: node.ports,
		binding: {keySecrets: [createHash('sha256').update(`keys ${token}`).digest('hex')]},
		administration: {
			tokens: [
				{team, role: 'operate', sha256: createHash('sha256').update(token).digest('hex')},
			],
		},
	};
}

async function applyConfiguration(mesh: Mesh): Promise<void> {
	const file = path.join(process.cwd(), 'examples/darkrooms/configuration.yaml');
	const {nodes} = mesh;
	const environment = mesh.environmentOf(nodes[0]!);
	await runCommand(environment, 'configuration', 'apply', file);
	await waitUntil(async () => {
		const responses = await Promise.all(
			nodes.map(async node => areServicesReachable(node)),
		);
		return responses.every(Boolean);
	});
}

/** Whether calls to both services succeed through a node. */
async function areServicesReachable(node: MeshNode): Promise<boolean> {
	const services = ['availability', 'booking'];
	const responses = await Promise.all(
		services.map(async service =>
			fetch(`http://${host}:${node.ports.data}/`, {
				headers: {'foxtailtide-service': service},
			}),
		),
	);
	await Promise.all(responses.map(async response => response.text()));
	return responses.every(({status}) => status === 200);
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
	const deadline = Date.now() + waitTimeoutMilliseconds;
	while (!(await condition())) {
		if (Date.now() > deadline) {
			throw new Error('the mesh was not ready in time: check /readyz of each node');
		}

		await sleep(pollIntervalMilliseconds);
	}
}
