/**
 * Starts a small mesh of real processes: nodes, each with its own stand-in server.
 */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {startLinkProxy, type LinkProxy} from '../../stand-ins/network/link-proxy.js';
import {sendCall} from './http.js';
import {
	findFreePorts,
	startProcess,
	writeSettings,
	type Cleaner,
	type StartedProcess,
} from './processes.js';

export type NodePorts = {
	readonly data: number;
	readonly peer: number;
	readonly local: number;
};

export type MeshNode = {
	readonly nodeId: string;
	readonly process: StartedProcess<NodePorts>;
	readonly server: StartedProcess<{port: number}>;
	readonly dataPort: number;
	readonly controlPort: number;
	readonly serverPort: number;
	readonly settingsFile: string;
	/** Undefined unless the node was started with link proxies. */
	readonly links: NodeLinks | undefined;
};

/** One node of the mesh and its server. */
export type MeshNodeOptions = {
	readonly service: string;
	readonly slots?: number;
	readonly serviceTimeMilliseconds?: number;
	readonly region?: string;
	readonly failureDomain?: string;
	/** Puts link proxies before the peer and control listeners, so that a test can cut the node off. */
	readonly hasLinkProxies?: boolean;
};

/** The links by which other nodes reach a node. */
export type NodeLinks = {readonly peer: LinkProxy; readonly control: LinkProxy};

const portsPerNode = 5;
const seedCount = 3;
const readyTimeoutMilliseconds = 10_000;

const services = {
	availability: {
		rank: 'urgent',
		deadlineMilliseconds: 2000,
		idempotentMethods: ['GET', 'HEAD'],
	},
	booking: {
		rank: 'urgent',
		deadlineMilliseconds: 2000,
		idempotentMethods: ['GET', 'HEAD'],
	},
	proofs: {
		rank: 'background',
		deadlineMilliseconds: 5000,
		idempotentMethods: ['GET', 'HEAD', 'PUT'],
	},
	ledger: {
		rank: 'normal',
		deadlineMilliseconds: 2000,
		idempotentMethods: ['GET', 'HEAD'],
	},
};

/**
 * Starts nodes that discover each other through seeds, with their servers, and waits until every
 * node reaches every service.
 *
 * @param cleaner the test, which ends the processes when it is over
 * @param nodes the nodes to start
 * @param extraSettings additional settings of every node
 * @returns the nodes in the given order
 */
export async function startMesh(
	cleaner: Cleaner,
	nodes: readonly MeshNodeOptions[],
	extraSettings: Readonly<Record<string, unknown>> = {},
): Promise<MeshNode[]> {
	const ports = await findFreePorts(nodes.length * portsPerNode);
	const members = nodes.map((node, index) => ({
		nodeId: `node-${index}`,
		region: node.region ?? 'coast',
		failureDomain: node.failureDomain ?? 'coast-a',
	}));
	// The first few nodes are the seeds of every node, as in the settings of a fleet.
	const seeds = nodes
		.slice(0, seedCount)
		.map((_node, index) => `127.0.0.1:${ports[index * portsPerNode + 2]!}`);
	const started = await Promise.all(
		nodes.map(async (node, index) => {
			const nodePorts = ports.slice(index * portsPerNode, (index + 1) * portsPerNode);
			return startMeshNode(cleaner, node, members[index]!, {
				seeds,
				nodePorts,
				extraSettings,
			});
		}),
	);
	const served = new Set(nodes.map(({service}) => service));
	for (const {dataPort} of started) {
		for (const service of served) {
			await waitUntilServed(dataPort, service);
		}
	}

	return started;
}

/** One request that a stand-in server started to run. */
export type JournalEntry = {
	readonly requestId: string;
	readonly key: string;
	readonly path: string;
	/** Wall clock, in milliseconds. */
	readonly startedAt: number;
	readonly state: 'running' | 'completed' | 'cancelled' | 'failed';
};

/**
 * Reads the journal of a node's server directly, not through a node.
 *
 * @param node the node of the server
 * @returns the requests that the server ran, in the order of their start
 */
export async function readJournal(node: MeshNode): Promise<JournalEntry[]> {
	const answer = await sendCall({
		port: node.serverPort,
		service: 'none',
		path: '/stand-in/journal',
	});
	return JSON.parse(Buffer.from(answer.body).toString('utf8')) as JournalEntry[];
}

async function startMeshNode(
	cleaner: Cleaner,
	node: MeshNodeOptions,
	member: {nodeId: string; region: string; failureDomain: string},
	mesh: {seeds: string[]; nodePorts: number[]; extraSettings: Record<string, unknown>},
): Promise<MeshNode> {
	const [data, peer, control, local, administration] = mesh.nodePorts;
	const links = node.hasLinkProxies
		? await openLinks(cleaner, peer!, control!)
		: undefined;
	const settingsFile = writeSettings({
		node: {
			id: member.nodeId,
			host: '127.0.0.1',
			region: member.region,
			failureDomain: member.failureDomain,
		},
		listeners: {data, peer, control, local, administration},
		advertise: links && {peer: links.peer.port, control: links.control.port},
		seeds: mesh.seeds,
		services,
		binding: {keySecrets: ['secret of the test mesh']},
		...mesh.extraSettings,
	});
	const started = await startProcess<NodePorts>(cleaner, 'foxtailtide', [
		'node',
		'--settings',
		settingsFile,
	]);
	const server = await startProcess<{port: number}>(cleaner, 'stand-in-server', [
		'--service',
		node.service,
		'--name',
		`server-of-${member.nodeId}`,
		'--slots',
		String(node.slots ?? 10),
		'--local',
		`127.0.0.1:${local}`,
		'--service-time-milliseconds',
		String(node.serviceTimeMilliseconds ?? 0),
	]);
	await waitUntilServed(data!, node.service);
	return {
		nodeId: member.nodeId,
		process: started,
		server,
		dataPort: data!,
		controlPort: control!,
		serverPort: server.ready.port,
		settingsFile,
		links,
	};
}

async function openLinks(
	cleaner: Cleaner,
	peer: number,
	control: number,
): Promise<NodeLinks> {
	const host = '127.0.0.1';
	const links = {
		peer: await startLinkProxy({host, port: 0, targetPort: peer}),
		control: await startLinkProxy({host, port: 0, targetPort: control}),
	};
	cleaner.after(async () => {
		await links.peer.close();
		await links.control.close();
	});
	return links;
}

async function waitUntilServed(port: number, service: string): Promise<void> {
	const deadline = Date.now() + readyTimeoutMilliseconds;
	while (Date.now() < deadline) {
		const answer = await sendCall({port, service, path: '/ready'});
		if (answer.status === 200) {
			return;
		}

		await sleep(20);
	}

	throw new Error(`${service} is not served on port ${port}`);
}
