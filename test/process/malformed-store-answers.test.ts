/**
 * Guards against nodes that end, or that no longer reach each other, by one odd answer of the store: its numbers are
 * passed on in gossip, whose encoder throws at what it cannot hold.
 */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	createConfiguration,
	sendNodeRequest,
	waitFor,
	type RelayMesh,
} from '../support/relay-mesh.js';
import {
	countServed,
	countSound,
	findHarmful,
	startWithOneServer,
	unusualHeaders,
	type MessageCase,
} from '../support/malformed-messages.js';

const pollMilliseconds = 1200;
const soundBody = {rows: [], ver: 1, 'now-ms': 1_000_000};

function createCase(name: string, start: string, body: unknown = soundBody): MessageCase {
	return {
		name,
		async play({store}) {
			const text = typeof body === 'string' ? body : JSON.stringify(body);
			store.answerRaw(`${start}\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
			// Ends the long polls, so that the nodes ask again.
			store.server.closeAllConnections();
			await sleep(pollMilliseconds);
			store.answerRaw(undefined);
			store.server.closeAllConnections();
		},
	};
}

const ok = 'HTTP/1.1 200 OK\r\nStore-Era: 1';
const cases = [
	...['000', '099', '101', '204', '304', '600'].map(status =>
		createCase(`status ${status}`, `HTTP/1.1 ${status} Unusual\r\nStore-Era: 1`),
	),
	createCase('odd headers', `${ok}\r\n${unusualHeaders.join('\r\n')}`),
	...['-5', '1.5', '1e300', '\u00E9'].map(era =>
		createCase(`era ${era}`, `HTTP/1.1 200 OK\r\nStore-Era: ${era}`),
	),
	...[-1, 1.5, 1e300].flatMap(number => [
		createCase(`version ${number}`, ok, {...soundBody, ver: number}),
		createCase(`a row of version ${number}`, ok, {
			...soundBody,
			rows: [{key: 'evacuate/coast-9', value: '', ver: number}],
		}),
	]),
	createCase('an odd row', ok, {
		...soundBody,
		rows: [{key: 'config', value: '%', ver: 2}],
	}),
	createCase('a body that is no JSON', ok, '[[['),
	// The clock last: a proof of a later time is not renewed by one of an earlier.
	...[-1, 1.5, 1e300].map(time =>
		createCase(`the time ${time}`, ok, {...soundBody, 'now-ms': time}),
	),
];

/** What each node passes on to the others about the age of its routes. */
async function listProofTimes({nodes}: RelayMesh): Promise<number[]> {
	return Promise.all(
		nodes.map(async ({metricsPort}) => {
			const {body} = await sendNodeRequest(metricsPort, '/state');
			const {membership} = JSON.parse(body) as {
				membership: {proofs: {routes: {provenAt: number}}};
			};
			return membership.proofs.routes.provenAt;
		}),
	);
}

test('no answer of the store ends a node or cuts it off from the others', async context => {
	const mesh = await startWithOneServer(context);
	expect(await findHarmful(mesh, cases)).toEqual([]);
	const times = await listProofTimes(mesh);
	expect(times.filter(time => !Number.isSafeInteger(time))).toEqual([]);
	// An exchange that never ended would keep a node from asking again.
	mesh.store.putConfiguration(createConfiguration(2));
	await waitFor(() =>
		mesh.nodes.every(({logs}) =>
			logs.some(line => line.message === 'routes in force' && line.version === 2),
		),
	);
	expect(await countServed(mesh)).toEqual(countSound(mesh));
});
