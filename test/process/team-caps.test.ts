/** A team far above its cap at several nodes at once, with real processes. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	createConfiguration,
	sendNodeRequest,
	startRelayMesh,
	waitFor,
	type RelayMesh,
	type RelayNode,
} from '../support/relay-mesh.js';

const cap = {'per-s': 20, burst: 20};
const windowMilliseconds = 5000;
const limit = (cap['per-s'] * windowMilliseconds) / 1000 + cap.burst;
const allowed = limit * 1.1 + 20;
const callersPerNode = 8;

/** Callers of the team that send their next request soon after the last one has ended. */
function startFlood(nodes: readonly RelayNode[]) {
	const state = {isOver: false};
	const statuses: number[] = [];
	const send = async (port: number, name: string): Promise<void> => {
		for (let index = 0; !state.isOver; index += 1) {
			const headers = {'x-request-id': `${name}-${index}`, 'api-key': 'parcels-key'};
			const {status} = await sendNodeRequest(port, '/search/1', {headers});
			statuses.push(status);
			await sleep(40);
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

/** The most requests that all servers together got in a window. */
function countBusiestWindow(nodes: readonly RelayNode[]): number {
	const times = nodes.flatMap(({server}) => server.receivedRequests.map(({at}) => at));
	const counts = times.map(
		start => times.filter(at => at >= start && at < start + windowMilliseconds).length,
	);
	return Math.max(0, ...counts);
}

async function findAllocator(nodes: readonly RelayNode[]): Promise<RelayNode> {
	const {body} = await sendNodeRequest(nodes[0]!.metricsPort, '/state');
	const {allowances} = JSON.parse(body) as {
		allowances: {teams: Array<{allocator: string}>};
	};
	const [index] = allowances.teams.map(({allocator}) => Number(allocator.split('-')[1]));
	return nodes[index!]!;
}

async function startMeshWithTeam(
	context: Parameters<typeof startRelayMesh>[0],
): Promise<RelayMesh> {
	const mesh = await startRelayMesh(context, 3, 10);
	const tenants = [{name: 'parcels', 'api-keys': ['parcels-key'], ...cap}];
	mesh.store.putConfiguration({
		...(createConfiguration(2) as Record<string, unknown>),
		tenants,
	});
	await waitFor(() =>
		mesh.nodes.every(({logs}) =>
			logs.some(({message, version}) => message === 'routes in force' && version === 2),
		),
	);
	return mesh;
}

test('a cap holds while the allocator is killed and started again', async context => {
	const {nodes} = await startMeshWithTeam(context);
	const flood = startFlood(nodes);
	await sleep(6000);
	const allocator = await findAllocator(nodes);
	await allocator.restart();
	await sleep(8000);
	await flood.stop();
	const ran = nodes.flatMap(({server}) => server.receivedRequests).length;
	expect(countBusiestWindow(nodes) <= allowed).toEqual(true);
	// The cap is used, but for the time in which a new allocator settles.
	expect(ran >= limit * 1.5).toEqual(true);
	expect(flood.statuses.includes(429)).toEqual(true);
	const messages = nodes.flatMap(({logs}) => logs.map(({message}) => message));
	expect(messages.includes('team beyond its cap')).toEqual(true);
});

test('a team below its cap is served in full', async context => {
	const {nodes} = await startMeshWithTeam(context);
	const statuses: number[] = [];
	for (let index = 0; index < 45; index += 1) {
		const {callersPort} = nodes[index % 3]!;
		const headers = {'x-request-id': `calm-${index}`, 'api-key': 'parcels-key'};
		const {status} = await sendNodeRequest(callersPort, '/search/1', {headers});
		statuses.push(status);
		await sleep(80);
	}

	expect(statuses.filter(status => status !== 200)).toEqual([]);
});
