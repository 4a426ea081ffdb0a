/**
 * One place of the soak: a node as a process of its own, its server, and the links by which the
 * other places, the server and the store are reached. It owns the process and ends it by its id.
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
const clock = path.resolve(import.meta.dirname, 'clock.cjs');
const localHost = '127.0.0.1';
const service = 'bookings';
const slots = 8;
const workMilliseconds = 25;
const restartMilliseconds = 100;
/** How far the wall clocks of two lives may lie apart, in milliseconds. */
const clockSpreadMilliseconds = 4000;
const clockJumpMilliseconds = 2400;
/** Read by `clock.cjs`. */
const clockVariables = {offset: 'SOAK_CLOCK_OFFSET', jump: 'SOAK_CLOCK_JUMP'} as const;
/** A server serves on for this long after its word is acknowledged, in milliseconds. */
export const drainMilliseconds = 2000;
export const graceMilliseconds = 6000;

export type SoakNodeOptions = {
	readonly index: number;
	readonly storePort: number;
	/** Folder for what the processes print. */
	readonly folder: string;
	readonly random: () => number;
	/** Milliseconds of the run's clock. */
	readonly now: () => number;
	/** Is told of a process that ended by itself. */
	readonly onFault: (finding: string) => void;
};

export type SoakNode = {
	readonly index: number;
	readonly callersPort: number;
	readonly readinessPort: number;
	readonly metricsPort: number;
	/** Number of the life that the node is in. */
	readonly restartCount: () => number;
	/** Ends the process with a signal and starts it again once it has ended. */
	readonly restartNode: (signal: NodeJS.Signals) => Promise<void>;
	readonly signalNode: (signal: NodeJS.Signals) => void;
	/** What other nodes send to this one, calls and gossip. */
	readonly nodeLinks: readonly LinkProxy[];
	readonly serverLink: LinkProxy;
	readonly storeLink: LinkProxy;
	readonly server: () => StandInPlatformServer;
	/** Drains the server, ends it, and starts a new one at its address. */
	readonly replaceServer: () => Promise<void>;
	/** Ends the server without a word and starts a new one after a time. */
	readonly crashServer: (milliseconds: number) => Promise<void>;
	readonly runs: () => readonly ServerRun[];
	readonly drains: readonly ServerDrain[];
	readonly close: () => Promise<void>;
};

/**
 * Opens a place and starts its node.
 *
 * @param options where it stands, and whom it tells of faults
 * @returns the place, its node starting
 */
export async function startSoakNode(options: SoakNodeOptions): Promise<SoakNode> {
	const {index, now} = options;
	// Links to TCP ports carry datagrams as well, whose ports the system may have given away.
	const [serverLinkPort, storeLinkPort, ...ports] = await findFreePorts(9);
	const [callers, readiness, announcements, peer, gossip, metrics, serverPort] =
		ports as [number, number, number, number, number, number, number];
	const reachedAt = `127.0.1.${index + 1}`;
	const listensAt = `127.0.2.${index + 1}`;
	const link = async (port: number): Promise<LinkProxy> =>
		startLinkProxy({host: reachedAt, port, targetPort: port, targetHost: listensAt});
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
			host: reachedAt,
			bind: listensAt,
			peer,
			gossip,
			metrics,
		},
		table: `${localHost}:${storeLink.port}`,
		pollersPerDomain: 1,
		stop: {graceMilliseconds},
		repeats: {ratio: 0.2, slack: 58, windowMilliseconds: 10_000},
	});
	const lives: StandInPlatformServer[] = [];
	const leavings: ServerDrain[] = [];
	const state = {
		life: 0,
		isClosed: false,
		isEnding: false,
		isServerChanging: false,
		child: startNode(),
	};

	function startNode(): ChildProcess {
		const output = openSync(path.join(options.folder, `node-${index}.log`), 'a');
		const offset = Math.round((options.random() - 0.5) * clockSpreadMilliseconds);
		const child = spawn(process.execPath, ['--require', clock, program, 'run', file], {
			stdio: ['ignore', output, output],
			env: {
				...process.env,
				[clockVariables.offset]: String(offset),
				[clockVariables.jump]: String(clockJumpMilliseconds),
			},
		});
		child.once('exit', (code, signal) => {
			if (!state.isEnding && !state.isClosed) {
				options.onFault(`ended: node-${index} by itself, ${String(signal ?? code)}`);
			}
		});
		return child;
	}

	async function startServer(): Promise<void> {
		const server = createStandInPlatformServer({
			id: `server-${index}-${lives.length}`,
			service,
			slots,
			workMilliseconds,
		});
		lives.push(server);
		server.server.listen(serverPort, localHost);
		await once(server.server, 'listening');
		server.startHeartbeats(localHost, announcements, serverAddress);
	}

	/** Ends the server and starts the next one; one change at a time. */
	async function changeServer(
		end: (server: StandInPlatformServer) => Promise<void>,
	): Promise<void> {
		if (state.isServerChanging) {
			return;
		}

		state.isServerChanging = true;
		await end(lives.at(-1)!);
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
			options.onFault(`late: node-${index} outlived its grace`);
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
		restartCount: () => state.life,
		async restartNode(signal) {
			if (state.isEnding || state.isClosed) {
				return;
			}

			await endNode(signal);
			await pause(restartMilliseconds);
			state.life += 1;
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
		server: () => lives.at(-1)!,
		async replaceServer() {
			await changeServer(async server => {
				if ((await server.drain()) === 200) {
					const id = `server-${index}-${lives.length - 1}`;
					leavings.push({server: id, acknowledgedAt: now()});
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
			lives.flatMap(({receivedRequests: seen}, life) =>
				seen.map(({requestId, at}) => ({
					id: requestId,
					server: `server-${index}-${life}`,
					at: at - Date.now() + now(),
				})),
			),
		drains: leavings,
		async close() {
			state.isClosed = true;
			state.child.kill('SIGCONT');
			state.child.kill('SIGKILL');
			await lives.at(-1)!.close();
			await Promise.all(
				[...nodeLinks, serverLink, storeLink].map(async each => each.close()),
			);
		},
	};
}

/** Waits for a time in milliseconds. */
export async function pause(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
