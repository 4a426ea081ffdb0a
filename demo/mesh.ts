/** The demo's mesh: the table stand-in, four nodes in two regions, and a server beside each. */
import {createHash, randomBytes} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {stringify} from 'yaml';
import {runCommand, startProcess, type DemoProcess} from './processes.js';

const waitTimeoutMilliseconds = 30_000;
const waitStepMilliseconds = 200;
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
	/** What a command needs to ask a node. */
	readonly environmentOf: (node: MeshNode) => Readonly<Record<string, string>>;
	/** Waits until a condition holds, and fails when it takes too long. */
	readonly waitUntil: (holds: () => Promise<boolean>) => Promise<void>;
	/** Stops every process as planned. */
	readonly stop: () => Promise<void>;
};

/** Two regions, each with a server of each service. */
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
 * Starts the mesh and puts the example configuration in force.
 *
 * @param firstPort first of the twenty ports that the nodes listen on
 * @returns the mesh once every service answers
 */
export async function createMesh(firstPort: number): Promise<Mesh> {
	const nodes = createNodes(firstPort);
	const directory = mkdtempSync(path.join(tmpdir(), 'foxtailtide-demo-'));
	const token = randomBytes(32).toString('hex');
	const started: DemoProcess[] = [];
	const mesh: Mesh = {
		nodes,
		environmentOf: node => createEnvironment(node, token),
		waitUntil,
		async stop() {
			// Servers and nodes first, the table last.
			await Promise.all(started.slice(1).map(async ({stop}) => stop()));
			await started[0]?.stop();
			rmSync(directory, {recursive: true});
		},
	};
	try {
		await startAll(started, nodes, {directory, token});
		await putInForce(mesh);
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
	started: DemoProcess[],
	nodes: readonly MeshNode[],
	{directory, token}: {readonly directory: string; readonly token: string},
): Promise<void> {
	const table = await startProcess('stand-in-table', []);
	started.push(table);
	const tableUrl = `http://${host}:${table.ports.port}`;
	const seeds = nodes.map(({ports}) => `${host}:${ports.control}`);
	for (const node of nodes) {
		const file = path.join(directory, `${node.id}.yaml`);
		writeFileSync(
			file,
			stringify({...createSettings(node, token), seeds, platform: {table: tableUrl}}),
		);
		const running = await startProcess('foxtailtide', ['node', '--settings', file]);
		started.push(running);
		const server = await startServer(node);
		started.push(server);
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

async function putInForce(mesh: Mesh): Promise<void> {
	const file = path.join(process.cwd(), 'examples/darkrooms/configuration.yaml');
	const {nodes} = mesh;
	const environment = mesh.environmentOf(nodes[0]!);
	await runCommand(environment, 'configuration', 'apply', file);
	await waitUntil(async () => {
		const answers = await Promise.all(nodes.map(async node => isServed(node)));
		return answers.every(Boolean);
	});
}

/** Whether calls to both services reach a server through a node. */
async function isServed(node: MeshNode): Promise<boolean> {
	const services = ['availability', 'booking'];
	const answers = await Promise.all(
		services.map(async service =>
			fetch(`http://${host}:${node.ports.data}/`, {
				headers: {'foxtailtide-service': service},
			}),
		),
	);
	await Promise.all(answers.map(async answer => answer.text()));
	return answers.every(({status}) => status === 200);
}

async function waitUntil(holds: () => Promise<boolean>): Promise<void> {
	const limit = Date.now() + waitTimeoutMilliseconds;
	while (!(await holds())) {
		if (Date.now() > limit) {
			throw new Error('the mesh did not come up in time: look at /readyz of each node');
		}

		await sleep(waitStepMilliseconds);
	}
}
