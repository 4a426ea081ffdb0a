/**
 * Starts relay nodes as separate processes, each with a stand-in server, and a stand-in store: the
 * same setup as on the platform, on loopback.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {request as sendRequest, type Agent, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {
	createStandInPlatformServer,
	type StandInPlatformServer,
} from '../../stand-ins/platform/server.js';
import {
	createStandInStore,
	type StandInStore,
	type StoreCopy,
} from '../../stand-ins/platform/store.js';
import {findFreePorts, writeSettings, type Cleaner} from './processes.js';

const program = path.resolve(import.meta.dirname, '../../dist/relay.cjs');
const host = '127.0.0.1';
/** The third node shares the failure domain of the first; only one of the two polls the store. */
const domains = 2;
const readyTimeoutMilliseconds = 20_000;

export type LogLine = Readonly<Record<string, unknown>> & {readonly message: string};

export type RelayNode = {
	/** The current process; another one after a restart. */
	readonly child: ChildProcess;
	/** Kills the process, if it still runs, and starts another with the same settings. */
	readonly restart: () => Promise<void>;
	readonly server: StandInPlatformServer;
	readonly settingsFile: string;
	readonly callersPort: number;
	readonly readinessPort: number;
	readonly metricsPort: number;
	readonly announcementsPort: number;
	/** Other nodes: attempts over TCP, queries over UDP. */
	readonly peerPort: number;
	/** Gossip over UDP. */
	readonly gossipPort: number;
	readonly logs: LogLine[];
	/** The end of the current process. */
	readonly ended: Promise<unknown>;
};

export type RelayMesh = {
	readonly store: StandInStore;
	/** The store before any node had started. */
	readonly initialCopy: StoreCopy;
	readonly nodes: readonly RelayNode[];
	/** Starts one more node, with its server. */
	readonly addNode: () => Promise<RelayNode>;
};

export type NodeResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
};

/** Creates a configuration of one service: a route of each kind, and idempotent extra routes. */
export function createConfiguration(
	version: number,
	...extraPrefixes: readonly string[]
): unknown {
	const paths = [
		createPath('search', '/search/', 'idempotent'),
		createPath('book', '/book/', 'non_idempotent'),
	];
	for (const prefix of extraPrefixes) {
		paths.push(createPath(`extra${prefix}`, prefix, 'idempotent'));
	}

	return {
		version: `r${version}`,
		services: [{name: 'bookings', 'health-path': '/health', 'max-conns': 100}],
		limits: {
			'max-header-bytes': 16_384,
			'max-body-bytes': 1_000_000,
			'header-timeout-ms': 3000,
			'idle-timeout-ms': 15_000,
		},
		hosts: [{host: 'bays.example', paths}],
	};
}

function createPath(name: string, prefix: string, kind: string) {
	return {
		name,
		prefix,
		kind,
		'timeout-ms': 1500,
		'target-latency-ms': 500,
		priority: 1,
		'max-attempts': 2,
		service: 'bookings',
	};
}

/** Optional parts of a mesh. */
export type RelayMeshOptions = {
	/** Options of Node.js for the nodes. */
	readonly nodeFlags?: readonly string[];
	/** Interval of the servers' heartbeats. */
	readonly heartbeatMilliseconds?: number;
	/** The first configuration; one without teams if absent. */
	readonly configuration?: unknown;
	/** Settings of the nodes for teams. */
	readonly teams?: {readonly revocationMilliseconds: number};
	/** Port at which a node reaches the store, from its index; the store's own if absent. */
	readonly choosePort?: (index: number, storePort: number) => Promise<number>;
};

/** Starts a store and nodes with their servers, and waits until all nodes know all servers. */
export async function startRelayMesh(
	cleaner: Cleaner,
	count: number,
	workMilliseconds = 30,
	options: RelayMeshOptions = {},
): Promise<RelayMesh> {
	const store = createStandInStore();
	store.putConfiguration(options.configuration ?? createConfiguration(1));
	const initialCopy = store.takeCopy();
	const storePort = await listenOnFreePort(cleaner, store.server);
	const nodes: RelayNode[] = [];
	const addNode = async (): Promise<RelayNode> => {
		const index = nodes.length;
		const node = await startNode(cleaner, {
			index,
			storePort: (await options.choosePort?.(index, storePort)) ?? storePort,
			workMilliseconds,
			...options,
		});
		nodes.push(node);
		return node;
	};

	for (let index = 0; index < count; index += 1) {
		await addNode();
	}

	await Promise.all(nodes.map(async node => waitUntilReady(node)));
	await Promise.all(nodes.map(async node => waitUntilAllKnown(node, count)));
	return {store, initialCopy, nodes, addNode};
}

type NodeOptions = RelayMeshOptions & {
	readonly index: number;
	readonly storePort: number;
	readonly workMilliseconds: number;
};

async function startNode(cleaner: Cleaner, options: NodeOptions): Promise<RelayNode> {
	const [callers, readiness, announcements, peer, gossip, metrics] =
		await findFreePorts(6);
	const server = createStandInPlatformServer({
		id: `server-${options.index}`,
		service: 'bookings',
		slots: 8,
		workMilliseconds: options.workMilliseconds,
		heartbeatMilliseconds: options.heartbeatMilliseconds,
	});
	const serverPort = await listenOnFreePort(cleaner, server.server);
	cleaner.after(async () => server.close());
	const settings = {
		node: {
			id: `node-${options.index}`,
			region: 'coast',
			failureDomain: `coast-${options.index % domains}`,
		},
		server: {service: 'bookings', address: `${host}:${serverPort}`},
		listeners: {
			callers: `${host}:${callers}`,
			readiness: `${host}:${readiness}`,
			announcements: `${host}:${announcements}`,
			host,
			peer,
			gossip,
			metrics,
		},
		table: `${host}:${options.storePort}`,
		pollersPerDomain: 1,
		stop: {graceMilliseconds: 6000},
		...(options.teams && {teams: options.teams}),
		repeats: {ratio: 0.2, slack: 58, windowMilliseconds: 10_000},
	};
	const file = writeSettings(settings);
	const logs: LogLine[] = [];
	let current = startProcess(file, options.nodeFlags, logs);
	cleaner.after(async () => {
		current.child.kill('SIGKILL');
		await current.ended;
	});
	const node: RelayNode = {
		get child() {
			return current.child;
		},
		get ended() {
			return current.ended;
		},
		async restart() {
			current.child.kill('SIGKILL');
			await current.ended;
			current = startProcess(file, options.nodeFlags, logs);
		},
		server,
		settingsFile: file,
		callersPort: callers!,
		readinessPort: readiness!,
		metricsPort: metrics!,
		announcementsPort: announcements!,
		peerPort: peer!,
		gossipPort: gossip!,
		logs,
	};
	await waitUntilReady(node);
	server.startHeartbeats(host, announcements!, `${host}:${serverPort}`);
	return node;
}

function startProcess(
	settingsFile: string,
	nodeFlags: readonly string[] | undefined,
	logs: LogLine[],
): {readonly child: ChildProcess; readonly ended: Promise<unknown>} {
	const child = spawn(
		process.execPath,
		[...(nodeFlags ?? []), program, 'run', settingsFile],
		{
			stdio: ['ignore', 'pipe', 'inherit'],
		},
	);
	createInterface({input: child.stdout}).on('line', line => {
		logs.push(JSON.parse(line) as LogLine);
	});
	return {child, ended: once(child, 'exit')};
}

/** Optional parts of a request to a node. */
export type NodeRequestOptions = {
	readonly headers?: Readonly<Record<string, string>>;
	readonly method?: string;
	readonly body?: string;
	/** Connection pool; each request opens its own connection when absent. */
	readonly agent?: Agent;
};

/** Sends a request to a node; status 0 means that the connection failed. */
export async function sendNodeRequest(
	port: number,
	requestPath: string,
	{headers = {}, method = 'GET', body: sentBody, agent}: NodeRequestOptions = {},
): Promise<NodeResponse> {
	return new Promise(resolve => {
		const request = sendRequest(
			{
				host,
				port,
				path: requestPath,
				method,
				agent: agent ?? false,
				headers: {host: 'bays.example', 'x-request-deadline': '1400', ...headers},
			},
			response => {
				let body = '';
				response.setEncoding('utf8');
				response.on('data', (chunk: string) => {
					body += chunk;
				});
				response.on('end', () => {
					resolve({status: response.statusCode!, headers: response.headers, body});
				});
				response.on('error', () => {
					resolve({status: 0, headers: {}, body});
				});
			},
		);
		request.on('error', () => {
			resolve({status: 0, headers: {}, body: ''});
		});
		request.end(sentBody);
	});
}

/** Polls a condition until it holds; throws after `readyTimeoutMilliseconds`. */
export async function waitFor(condition: () => boolean): Promise<void> {
	const deadline = Date.now() + readyTimeoutMilliseconds;
	while (!condition()) {
		if (Date.now() > deadline) {
			throw new Error('the expected condition did not hold in time');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}
}

export async function waitUntilReady({readinessPort}: Pick<RelayNode, 'readinessPort'>) {
	const deadline = Date.now() + readyTimeoutMilliseconds;
	for (;;) {
		const {status} = await sendNodeRequest(readinessPort, '/ready');
		if (status === 200) {
			return;
		}

		if (Date.now() > deadline) {
			throw new Error('the node did not become ready in time');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}
}

export async function waitUntilAllKnown(
	{metricsPort}: Pick<RelayNode, 'metricsPort'>,
	count: number,
): Promise<void> {
	const deadline = Date.now() + readyTimeoutMilliseconds;
	for (;;) {
		const {body} = await sendNodeRequest(metricsPort, '/state');
		const {members = []} = JSON.parse(body) as {members?: Array<{service?: string}>};
		if (members.filter(({service}) => service !== undefined).length === count) {
			return;
		}

		if (Date.now() > deadline) {
			throw new Error(`the node did not learn of all servers: ${body}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}
}

export async function listenOnFreePort(
	cleaner: Cleaner,
	server: Server,
): Promise<number> {
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	cleaner.after(() => {
		server.close();
		server.closeAllConnections();
	});
	return (server.address() as AddressInfo).port;
}
