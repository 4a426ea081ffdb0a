/** Servers that name a limit on their request rate, with real processes and a flood of calls. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	sendNodeRequest,
	startRelayMesh,
	type RelayMesh,
	type RelayNode,
} from '../support/relay-mesh.js';

const limitPerSecond = 5;
/** Time that nodes have to learn of a limit. */
const contactMilliseconds = 3000;
const windowMilliseconds = 4000;
/** What a server may get in a window: one and a half times its limit, and a few requests more. */
const allowedInWindow = (1.5 * limitPerSecond * windowMilliseconds) / 1000 + 5;
const callersPerNode = 6;

type Flood = {readonly stop: () => Promise<void>; readonly statuses: number[]};

/** Callers that send their next request as soon as the last one has ended. */
function startFlood(nodes: readonly RelayNode[]): Flood {
	const state = {isOver: false};
	const statuses: number[] = [];
	const send = async (port: number, name: string): Promise<void> => {
		for (let index = 0; !state.isOver; index += 1) {
			const {status} = await sendNodeRequest(port, '/search/1', {
				headers: {'x-request-id': `${name}-${index}`},
			});
			statuses.push(status);
			// A caller that was turned away comes back after a short pause.
			await sleep(status === 200 ? 0 : 20);
		}
	};

	const callers = nodes.flatMap(({callersPort}, node) =>
		Array.from({length: callersPerNode}, async (_, index) =>
			send(callersPort, `flood-${node}-${index}`),
		),
	);
	return {
		statuses,
		async stop() {
			state.isOver = true;
			await Promise.all(callers);
		},
	};
}

/** The most requests that a server got in a window, from a moment on. */
function countBusiestWindow({server}: RelayNode, from: number): number {
	const times = server.receivedRequests.map(({at}) => at).filter(at => at >= from);
	const counts = times.map(
		start => times.filter(at => at >= start && at < start + windowMilliseconds).length,
	);
	return Math.max(0, ...counts);
}

async function floodLimitedServers(
	{nodes}: RelayMesh,
	disturb: () => Promise<void>,
): Promise<readonly number[]> {
	for (const {server} of nodes) {
		server.changeNotice({requestsPerSecond: limitPerSecond});
	}

	const flood = startFlood(nodes);
	const from = Date.now() + contactMilliseconds;
	await sleep(contactMilliseconds + 500);
	await disturb();
	await sleep(windowMilliseconds + 500);
	await flood.stop();
	return nodes.map(node => countBusiestWindow(node, from));
}

const notDisturbed = async (): Promise<void> => undefined;

test('a server does not get more requests than the limit that it names allows', async context => {
	const mesh = await startRelayMesh(context, 2);
	const counts = await floodLimitedServers(mesh, notDisturbed);
	expect(counts.filter(count => count > allowedInWindow)).toEqual([]);
	// The limit is used, not only kept.
	const used = (0.8 * limitPerSecond * windowMilliseconds) / 1000;
	expect(counts.filter(count => count < used)).toEqual([]);
});

test('a limit is kept while the node beside the server is killed and started again', async context => {
	const mesh = await startRelayMesh(context, 2);
	const counts = await floodLimitedServers(mesh, async () => {
		for (let times = 0; times < 3; times += 1) {
			await mesh.nodes[0]!.restart();
			await sleep(1000);
		}
	});
	expect(counts.filter(count => count > allowedInWindow)).toEqual([]);
});

test('a limit is kept after the node beside the server was frozen', async context => {
	const mesh = await startRelayMesh(context, 2);
	const [frozen] = mesh.nodes;
	const counts = await floodLimitedServers(mesh, async () => {
		frozen!.child.kill('SIGSTOP');
		await sleep(2500);
		frozen!.child.kill('SIGCONT');
	});
	expect(counts.filter(count => count > allowedInWindow)).toEqual([]);
});

test('a server that no longer names a limit gets all requests again', async context => {
	const mesh = await startRelayMesh(context, 2);
	const {nodes} = mesh;
	await floodLimitedServers(mesh, notDisturbed);
	for (const {server} of nodes) {
		server.changeNotice({requestsPerSecond: undefined});
	}

	await sleep(500);
	const answers = await Promise.all(
		Array.from({length: 40}, async (_, index) =>
			sendNodeRequest(nodes[index % 2]!.callersPort, '/search/1', {
				headers: {'x-request-id': `after-${index}`},
			}),
		),
	);
	expect(answers.filter(({status}) => status !== 200)).toEqual([]);
});
