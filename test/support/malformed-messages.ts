/** Plays malformed messages to a mesh and finds those that end a process or keep sound requests from being served. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	sendNodeRequest,
	startRelayMesh,
	waitFor,
	waitUntilReady,
	type RelayMesh,
	type RelayMeshOptions,
} from './relay-mesh.js';
import type {Cleaner} from './processes.js';

export const host = '127.0.0.1';

export type MessageCase = {
	readonly name: string;
	readonly play: (mesh: RelayMesh) => Promise<void>;
};

/** Lines of headers that a parser or a writer may refuse. */
export const unusualHeaders = [
	': empty name',
	'with space: 1',
	'space-behind : 1',
	'X-Value: \u00E9\u00FF',
	'X-Tab: a\tb',
	'Trailer: X-Sum',
	'Connection: close, x-request-id',
	'Upgrade: other',
	'Keep-Alive: timeout=-1',
	'X-Instance-Load: NaN,-1,1e400,-5',
	'X-Instance-Load: 0,0,8,1e308',
	'X-Instance-Load: 1e308,1e308,8,1e-308',
	'Server-Limit: 1e400',
	'Server-Limit: 0.0000001',
	'X-Warmup-Remaining: 1e308',
] as const;

const settleMilliseconds = 20;
/** More than the server has slots, so that a lost slot shows. */
const soundRequests = 12;

/** Starts two nodes whose requests all run at the server of the first. */
export async function startWithOneServer(
	cleaner: Cleaner,
	options: RelayMeshOptions = {},
): Promise<RelayMesh> {
	const mesh = await startRelayMesh(cleaner, 2, 30, options);
	const {server} = mesh.nodes[1]!;
	await server.drain();
	await waitFor(() =>
		mesh.nodes[0]!.logs.some(
			({message, member, slots}) =>
				message === 'member changed' && member === 'node-1' && slots === 0,
		),
	);
	return mesh;
}

/**
 * Plays the cases one after another.
 *
 * @param mesh nodes that serve
 * @param cases what to send
 * @returns the cases after which a process had ended, with the reason
 */
export async function findHarmful(
	mesh: RelayMesh,
	cases: readonly MessageCase[],
): Promise<string[]> {
	const harmful: string[] = [];
	for (const {name, play} of cases) {
		await play(mesh);
		await sleep(settleMilliseconds);
		for (const node of mesh.nodes.filter(({child}) => child.exitCode !== null)) {
			const end = node.logs.findLast(({message}) => message === 'process failed');
			harmful.push(`${name}: ${String(end?.reason)}`);
			await node.restart();
			await waitUntilReady(node);
			await countServed(mesh);
		}
	}

	return harmful;
}

/** Sends sound requests at once, each again until it is served, and counts those that were. */
export async function countServed({nodes}: RelayMesh): Promise<number> {
	const deadline = performance.now() + 10_000;
	const requests = nodes.flatMap(({callersPort}, node) =>
		Array.from({length: soundRequests}, async (_, index) => {
			for (let count = 0; performance.now() < deadline; count += 1) {
				const headers = {'x-request-id': `sound-${node}-${index}-${count}`};
				const {status} = await sendNodeRequest(callersPort, '/search/a', {headers});
				if (status === 200) {
					return true;
				}

				await sleep(100);
			}

			return false;
		}),
	);
	const served = await Promise.all(requests);
	return served.filter(Boolean).length;
}

/** How many requests `countServed` sends to a mesh. */
export function countSound({nodes}: RelayMesh): number {
	return nodes.length * soundRequests;
}

let callCount = 0;

/** Has each node take a request that must not repeat, and one that may. */
export async function callAll({nodes}: RelayMesh): Promise<void> {
	const calls = nodes.flatMap(({callersPort}) =>
		['/book/unusual', '/search/unusual'].map(async path => {
			callCount += 1;
			await sendNodeRequest(callersPort, path, {
				headers: {'x-request-id': `call-${callCount}`, 'x-request-deadline': '700'},
			});
		}),
	);
	await Promise.all(calls);
}

/** Sends bytes, each character as one, and resets the connection if it stays open. */
export async function sendBytes(port: number, text: string): Promise<void> {
	const socket = connect(port, host);
	socket.on('error', () => undefined);
	socket.on('data', () => undefined);
	socket.write(Buffer.from(text, 'latin1'));
	const timer = setTimeout(() => {
		socket.resetAndDestroy();
	}, 100);
	await once(socket, 'close');
	clearTimeout(timer);
}
