/**
 * Guards against a node that ends by one odd announcement of a server, and with it every call in hand: the id is
 * decoded from the path and written on as a header of each request to the server.
 */
import {request as sendRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {
	callAll,
	countServed,
	countSound,
	findHarmful,
	host,
	startWithOneServer,
	type MessageCase,
} from '../support/malformed-messages.js';

const ids = [
	'a%0d%0ab',
	'a%0a',
	'%00',
	'%C4%8D',
	'%20',
	'%7F',
	'a'.repeat(128),
	'%F0%9F%98%80',
];
const numbers = [-1, -5e15, 1.5, 4_294_967_296];

async function post(port: number, path: string, body: unknown): Promise<void> {
	await new Promise<void>(resolve => {
		const request = sendRequest(
			{host, port, path, method: 'POST', agent: false},
			response => {
				response.resume();
				resolve();
			},
		);
		request.on('error', () => {
			resolve();
		});
		request.end(JSON.stringify(body));
	});
}

/** Announces a server process that takes requests and leaves, and then the sound one, started later. */
function createCase(
	name: string,
	id: string,
	changes: Record<string, unknown>,
): MessageCase {
	return {
		name,
		async play(mesh) {
			const [node] = mesh.nodes;
			const {announcementsPort, server} = node!;
			const {port} = server.server.address() as AddressInfo;
			const heartbeat = {
				addr: `${host}:${port}`,
				born: Date.now(),
				info: {service: 'bookings', capacity: 8},
				status: {state: 'ready', sequence: 1},
				...changes,
			};
			const path = `/Instances.Heartbeat/${id}`;
			const draining = {...heartbeat, status: {state: 'draining', sequence: 9}};
			await post(announcementsPort, path, heartbeat);
			await callAll(mesh);
			await post(announcementsPort, path, draining);
			await post(announcementsPort, `/Instances.Deregister/${id}`, heartbeat);
			const sound = {...heartbeat, status: {state: 'ready', sequence: 1}};
			await post(announcementsPort, '/Instances.Heartbeat/server-0', {
				...sound,
				born: Date.now() + 1,
			});
		},
	};
}

test('no announcement of a server ends a node', async context => {
	const mesh = await startWithOneServer(context);
	mesh.nodes[0]!.server.pauseHeartbeats();
	const cases = [
		...ids.map(id => createCase(`the id ${id}`, id, {})),
		...numbers.flatMap(number => [
			createCase(`the start ${number}`, 'other', {born: number}),
			createCase(`the sequence ${number}`, 'other', {
				status: {state: 'ready', sequence: number, 'warmup-ms': 3_600_000},
			}),
		]),
	];
	expect(await findHarmful(mesh, cases)).toEqual([]);
	expect(await countServed(mesh)).toEqual(countSound(mesh));
});
