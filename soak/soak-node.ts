/**
 * One node of the soak: its process, its server, and the links to other nodes, the server and the
 * store, which can be disturbed. It owns the node's process and ends it by its id.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {openSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {startLinkProxy, type LinkProxy} from '../stand-ins/network/link-proxy.js';
import {
	createStandInPlatformServer,
	type StandInPlatformServer,
} from '../stand-ins/platform/server.js';
import {findFreePorts, writeSettings} from '../test/support/processes.js';
import type {ServerDrain, ServerRun} from './checks.js';

const program = path.resolve(import.meta.dirname, '../dist/relay.cjs');
const clockScript = path.resolve(import.meta.dirname, 'clock.cjs');
const localHost = '127.0.0.1';
const service = 'bookings';
const slots = 8;
const workMilliseconds = 25;
const restartMilliseconds = 100;
/** Maximum difference between the wall clocks of two node processes, in milliseconds. */
const maximumClockDifferenceMilliseconds = 4000;
const clockJumpMilliseconds = 2400;
/** Environment variables that `clock.cjs` reads. */
const clockVariables = {offset: 'SOAK_CLOCK_OFFSET', jump: 'SOAK_CLOCK_JUMP'} as const;
/** How long a server keeps serving after its drain is acknowledged, in milliseconds. */
export const drainMilliseconds = 2000;
export const graceMilliseconds = 6000;

export type SoakNodeOptions = {
	readonly index: number;
	readonly storePort: number;
	/** Folder for the logs of the processes. */
	readonly folder: string;
	readonly random: () => number;
	/** Milliseconds since the start of the run. */
	readonly now: () => number;
	/** Called when a process ends on its own, or too late after a signal. */
	readonly onFinding: (finding: string) => void;
};

export type SoakNode = {
	readonly index: number;
	readonly callersPort: number;
	readonly readinessPort: number;
	readonly metricsPort: number;
	/** Number of restarts of the node so far. */
	readonly restartCount: () => number;
	/** Ends the process with a signal, waits for its exit and starts it again. */
	readonly restartNode: (signal: NodeJS.Signals) => Promise<void>;
	readonly signalNode: (signal: NodeJS.Signals) => void;
	/** Links for traffic from other nodes: calls and gossip. */
	readonly nodeLinks: readonly LinkProxy[];
	readonly serverLink: LinkProxy;
	readonly storeLink: LinkProxy;
	readonly server: () => StandInPlatformServer;
	/** Id of the current server. */
	readonly serverId: () => string;
	/** Drains and ends the server, and starts a new one at its address. */
	readonly replaceServer: () => Promise<void>;
	/** Ends the server without deregistering it, and starts a new one after a pause. */
	readonly crashServer: (milliseconds: number) => Promise<void>;
	readonly runs: () => readonly ServerRun[];
	readonly drains: readonly ServerDrain[];
	readonly close: () => Promise<void>;
};

/**
 * Starts a node process, its server and its links.
 *
 * @param options index of the node, port of the store, and callbacks
 * @returns the node, which may not be ready yet
 */
export async function startSoakNode(options: SoakNodeOptions): Promise<SoakNode> {
	const {index, now} = options;
	// A link also needs the UDP port of its number, which may be taken if the system picks the port.
	const [serverLinkPort, storeLinkPort, ...ports] = await findFreePorts(9);
	const [callers, readiness, announcements, peer, gossip, metrics, serverPort] =
		ports as [number, number, number, number, number, number, number];
	const advertisedHost = `127.0.1.${index + 1}`;
	const bindHost = `127.0.2.${index + 1}`;
	const link = async (port: number): Promise<LinkProxy> =>
		startLinkProxy({host: advertisedHost, port, targetPort: port, targetHost: bindHost});
	const nodeLinks = [await link(peer), await link(gossip)];
	const serverLink = await startLinkProxy({
		host: localHost,
		port: serverLinkPort!,
		targetPort: serverPort,
	});
	const storeLink = await startLinkProxy({
		host: localHost,
		port: storeLinkPort!,
		targetPort: options.storePort,
	});
	const serverAddress = `${localHost}:${serverLink.port}`;
	const file = writeSettings({
		node: {id: `node-${index}`, region: 'coast', failureDomain: `coast-${index % 3}`},
		server: {service, address: serverAddress},
		listeners: {
			callers: `${localHost}:${callers}`,
			readiness: `${localHost}:${readiness}`,
			announcements: `${localHost}:${announcements}`,
			host: advertisedHost,
			bind: bindHost,
			peer,
			gossip,
			metrics,
		},
		table: `${localHost}:${storeLink.port}`,
		pollersPerDomain: 1,
		stop: {graceMilliseconds},
		repeats: {ratio: 0.2, slack: 58, windowMilliseconds: 10_000},
	});
	const servers: StandInPlatformServer[] = [];
	const drains: ServerDrain[] = [];
	const state = {
		restartCount: 0,
		isClosed: false,
		isEnding: false,
		isServerChanging: false,
		child: startNode(),
	};

	function startNode(): ChildProcess {
		const output = openSync(path.join(options.folder, `node-${index}.log`), 'a');
		const offset = Math.round(
			(options.random() - 0.5) * maximumClockDifferenceMilliseconds,
		);
		const child = spawn(
			process.execPath,
			['--require', clockScript, program, 'run', file],
			{
				stdio: ['ignore', output, output],
				env: {
					...process.env,
					[clockVariables.offset]: String(offset),
					[clockVariables.jump]: String(clockJumpMilliseconds),
				},
			},
		);
		child.once('exit', (code, signal) => {
			if (!state.isEnding && !state.isClosed) {
				options.onFinding(`ended: node-${index} by itself, ${String(signal ?? code)}`);
			}
		});
		return child;
	}

	function describeServer(): string {
		return `server-${index}-${servers.length - 1}`;
	}

	async function startServer(): Promise<void> {
		const server = createStandInPlatformServer({
			id: `server-${index}-${servers.length}`,
			service,
			slots,
			workMilliseconds,
		});
		servers.push(server);
		server.server.listen(serverPort, localHost);
		await once(server.server, 'listening');
		server.startHeartbeats(localHost, announcements, serverAddress);
	}

	/** Ends the server and starts the next one; does nothing while another change is running. */
	async function changeServer(
		end: (server: StandInPlatformServer) => Promise<void>,
	): Promise<void> {
		if (state.isServerChanging) {
			return;
		}

		state.isServerChanging = true;
		await end(servers.at(-1)!);
		await startServer();
		state.isServerChanging = false;
	}

	async function endNode(signal: NodeJS.Signals): Promise<void> {
		const {child} = state;
		state.isEnding = true;
		const ended = child.exitCode ?? child.signalCode;
		const exit = ended === null ? once(child, 'exit') : undefined;
		child.kill(signal);
		const kill = setTimeout(() => {
			options.onFinding(`late: node-${index} outlived its grace`);
			child.kill('SIGKILL');
		}, graceMilliseconds);
		await exit;
		clearTimeout(kill);
	}

	await startServer();
	return {
		index,
		callersPort: callers,
		readinessPort: readiness,
		metricsPort: metrics,
		restartCount: () => state.restartCount,
		async restartNode(signal) {
			if (state.isEnding || state.isClosed) {
				return;
			}

			await endNode(signal);
			await pause(restartMilliseconds);
			state.restartCount += 1;
			state.isEnding = false;
			if (!state.isClosed) {
				state.child = startNode();
			}
		},
		signalNode(signal) {
			state.child.kill(signal);
		},
		nodeLinks,
		serverLink,
		storeLink,
		server: () => servers.at(-1)!,
		serverId: describeServer,
		async replaceServer() {
			await changeServer(async server => {
				server.changeNotice({isLeaving: true});
				if ((await server.drain()) === 200) {
					drains.push({server: describeServer(), acknowledgedAt: now()});
				}

				await pause(drainMilliseconds + workMilliseconds * 10);
				await server.deregister();
				await server.close();
			});
		},
		async crashServer(milliseconds) {
			await changeServer(async server => {
				await server.close();
				await pause(milliseconds);
			});
		},
		runs: () =>
			servers.flatMap(({receivedRequests}, serverIndex) =>
				receivedRequests.map(({requestId, at}) => ({
					id: requestId,
					server: `server-${index}-${serverIndex}`,
					at: at - Date.now() + now(),
				})),
			),
		drains,
		async close() {
			state.isClosed = true;
			state.child.kill('SIGCONT');
			state.child.kill('SIGKILL');
			await servers.at(-1)!.close();
			await Promise.all(
				[...nodeLinks, serverLink, storeLink].map(async each => each.close()),
			);
		},
	};
}

export async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
