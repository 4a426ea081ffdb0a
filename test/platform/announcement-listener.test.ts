/** The announcement listener survives whatever is sent to it, and still hears its server. */
import {connect, type AddressInfo} from 'node:net';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {test} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {createAnnouncementListener} from '../../platform/announcement-listener.js';
import {
	announcementVerdicts,
	type ServerAnnouncement,
} from '../../src/announcement/index.js';

const ignore = (): void => undefined;
const silentLog = {info: ignore, warn: ignore, error: ignore};
const answerMilliseconds = 2000;
const heartbeat = JSON.stringify({
	addr: '127.0.0.1:8080',
	born: 1,
	info: {service: 'bookings', version: 'v1', zone: 'a', capacity: 4},
	status: {state: 'ready', sequence: 1, 'warmup-ms': 0},
});

async function startListener() {
	const heard: ServerAnnouncement[] = [];
	const server = createAnnouncementListener(
		{
			handleAnnouncement(announcement) {
				heard.push(announcement);
				return announcementVerdicts.accepted;
			},
			deregisterServer: () => true,
			leavingPassedOn: async () => undefined,
		},
		silentLog,
	);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {server, heard, port: (server.address() as AddressInfo).port};
}

/** Sends raw bytes and returns the status of the first response; 0 if there is none. */
async function sendRaw(port: number, bytes: string | Uint8Array): Promise<number> {
	const socket = connect(port, '127.0.0.1');
	let received = '';
	socket.on('error', ignore);
	socket.on('data', chunk => {
		received += chunk.toString('latin1');
		socket.end();
	});
	socket.setTimeout(answerMilliseconds, () => {
		socket.destroy();
	});
	socket.end(bytes);
	await once(socket, 'close');
	return Number(/^HTTP\/1\.1 (?<status>\d+)/v.exec(received)?.groups?.status ?? 0);
}

function formatPost(path: string, body: string): string {
	return `POST ${path} HTTP/1.1\r\nHost: node\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

const refused: ReadonlyArray<readonly [string, string, number]> = [
	[
		'an id with a broken percent code in a heartbeat',
		formatPost('/Instances.Heartbeat/%', heartbeat),
		404,
	],
	[
		'an id with a broken percent code in a deregistration',
		formatPost('/Instances.Deregister/%E0%A4', '{}'),
		404,
	],
	...['a%0D%0Ab', '%C4%8D', '%20'].map((id): readonly [string, string, number] => [
		`the id ${id}, which no header can name,`,
		formatPost(`/Instances.Heartbeat/${id}`, heartbeat),
		404,
	]),
	['a heartbeat that is not JSON', formatPost('/Instances.Heartbeat/one', '{'), 400],
	[
		'a heartbeat with a field of another type',
		formatPost('/Instances.Heartbeat/one', '{"addr":4}'),
		400,
	],
	[
		'a deeply nested heartbeat',
		formatPost('/Instances.Heartbeat/one', `${'{"info":['.repeat(6000)}`),
		400,
	],
	[
		'a heartbeat with a deeply nested field',
		formatPost(
			'/Instances.Heartbeat/one',
			heartbeat.replace('"bookings"', `${'['.repeat(30_000)}${']'.repeat(30_000)}`),
		),
		400,
	],
	...[
		['"capacity":4', '"capacity":4294967296'],
		['"capacity":4', '"capacity":9e15'],
		['"capacity":4', '"capacity":1e400'],
		['"sequence":1', '"sequence":1e300'],
		['"born":1', '"born":1e300'],
		['"warmup-ms":0', '"warmup-ms":1e300'],
		['"warmup-ms":0', '"warmup-ms":-1'],
	].map(([from, to]): readonly [string, string, number] => [
		`a heartbeat with ${to}`,
		formatPost('/Instances.Heartbeat/one', heartbeat.replace(from!, to!)),
		400,
	]),
	[
		'a deregistration with an id that cannot be passed on',
		formatPost(`/Instances.Deregister/${'i'.repeat(300)}`, '{}'),
		404,
	],
	['bytes that are not HTTP', '\u0001\u0002\r\n\r\n', 400],
];
for (const [name, bytes, status] of refused) {
	test(`${name} is refused, and the next heartbeat is heard`, async () => {
		const {server, heard, port} = await startListener();
		expect(await sendRaw(port, bytes)).toEqual(status);
		expect(
			await sendRaw(port, formatPost('/Instances.Heartbeat/one', heartbeat)),
		).toEqual(200);
		server.close();
		expect(heard.map(({id}) => id)).toEqual(['one']);
	});
}

test('a heartbeat body without end closes its connection', async () => {
	const {server, port} = await startListener();
	const socket = connect(port, '127.0.0.1');
	socket.on('error', ignore);
	socket.write(
		'POST /Instances.Heartbeat/one HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n',
	);
	const filler = setInterval(() => {
		socket.write(`4000\r\n${'f'.repeat(0x40_00)}\r\n`);
	}, 1);
	await once(socket, 'close');
	clearInterval(filler);
	server.close();
});

test('random paths, bodies and bytes end no listener', async () => {
	const {server, heard, port} = await startListener();
	const message = fc.oneof(
		fc.uint8Array({minLength: 1, maxLength: 200}),
		fc
			.tuple(fc.string({unit: 'binary-ascii'}), fc.json())
			.map(([path, body]) =>
				formatPost(`/Instances.Heartbeat/${path.replaceAll(/\s/gv, '')}`, body),
			),
	);
	for (const bytes of fc.sample(message, {numRuns: 60, seed: 42})) {
		await sendRaw(port, bytes);
	}

	heard.length = 0;
	expect(await sendRaw(port, formatPost('/Instances.Heartbeat/one', heartbeat))).toEqual(
		200,
	);
	server.close();
	expect(heard.length).toEqual(1);
});
