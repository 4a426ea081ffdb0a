/**
 * Guards against requests that pass for calls of a server, which need no key: an id is chosen by its sender and says
 * nothing of where the request comes from.
 */
import {request as sendRequest} from 'node:http';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {refusalKinds} from '../../src/call/index.js';
import {
	createConfiguration,
	startRelayMesh,
	type RelayMesh,
} from '../support/relay-mesh.js';

const host = '127.0.0.1';
/** Another VM, as far as the node can see. */
const farHost = '127.0.0.9';
const workMilliseconds = 800;
/** A node grants nothing of a team's cap until it has looked for others that may do so. */
const allocatorMilliseconds = 2000;
const parentDeadlineMilliseconds = 1400;
const teams = [
	{name: 'north', 'api-keys': ['key-of-north']},
	{name: 'small', 'api-keys': ['key-of-small'], 'per-s': 1, burst: 1},
];
const options = {
	configuration: {...(createConfiguration(1) as Record<string, unknown>), tenants: teams},
};

type Sent = {
	readonly id: string;
	readonly key?: string;
	readonly from?: string;
	readonly deadlineMilliseconds?: number;
	readonly path?: string;
};

/** Sends a request to the first node; status 0 means that the connection failed. */
async function send({nodes}: RelayMesh, sent: Sent): Promise<number> {
	return new Promise(resolve => {
		const request = sendRequest(
			{
				host,
				port: nodes[0]!.callersPort,
				path: sent.path ?? '/search/1',
				localAddress: sent.from ?? host,
				agent: false,
				headers: {
					host: 'bays.example',
					'x-request-id': sent.id,
					'x-request-deadline': String(sent.deadlineMilliseconds ?? 400),
					...(sent.key !== undefined && {'api-key': sent.key}),
				},
			},
			response => {
				response.resume();
				response.once('end', () => {
					resolve(response.statusCode!);
				});
			},
		);
		request.on('error', () => {
			resolve(0);
		});
		request.end();
	});
}

/** Sends requests of an order while the order runs at the server of the first node. */
async function sendWhileRunning(
	mesh: RelayMesh,
	order: string,
	requests: readonly Sent[],
): Promise<number[]> {
	const {server} = mesh.nodes[0]!;
	const parent = send(mesh, {
		id: order,
		key: 'key-of-north',
		path: '/book/1',
		deadlineMilliseconds: parentDeadlineMilliseconds,
	});
	while (!server.receivedRequests.some(({requestId}) => requestId === order)) {
		await sleep(5);
	}

	const statuses = await Promise.all(requests.map(async sent => send(mesh, sent)));
	await parent;
	return statuses;
}

test('a request whose id extends that of a running request needs a key of its own', async context => {
	const mesh = await startRelayMesh(context, 1, workMilliseconds, options);
	const {receivedRequests} = mesh.nodes[0]!.server;
	const statuses = await sendWhileRunning(mesh, 'order-1', [
		{id: 'order-1.revoked', key: 'key-that-was-taken-away'},
		{id: 'order-1.empty', key: ''},
		{id: 'order-1.far', from: farHost},
		{id: 'order-1.outlasting', deadlineMilliseconds: 10_000},
		{id: 'unrelated'},
	]);
	expect(statuses).toEqual([401, 401, 401, 401, 401]);
	expect(receivedRequests.map(({requestId}) => requestId)).toEqual(['order-1']);
});

test('a request with a key is one of its team, whatever its id extends', async context => {
	const mesh = await startRelayMesh(context, 1, 300, options);
	await sleep(allocatorMilliseconds);
	const ids = Array.from({length: 40}, (_, index) => `order-1.${index}`);
	await sendWhileRunning(
		mesh,
		'order-1',
		ids.map(id => ({id, key: 'key-of-small'})),
	);
	const {logs} = mesh.nodes[0]!;
	const received = logs.filter(
		({message, request}) => message === 'call received' && ids.includes(String(request)),
	);
	expect(received.length > 0 && received.every(({nested}) => nested === false)).toEqual(
		true,
	);
	expect(logs.some(({refusal}) => refusal === refusalKinds.teamLimit)).toEqual(true);
});

test('calls that a server makes while it runs a request are served without a key', async context => {
	const mesh = await startRelayMesh(context, 1, 150, options);
	const statuses = await sendWhileRunning(mesh, 'order-1', [
		{id: 'order-1.a', deadlineMilliseconds: 800},
		{id: 'order-1/b', deadlineMilliseconds: 800},
		{id: 'order-1c', deadlineMilliseconds: parentDeadlineMilliseconds},
	]);
	expect(statuses).toEqual([200, 200, 200]);
});
