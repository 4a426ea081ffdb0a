/** Contract of the stand-in server: responses, journal, faults, announcements and crashes. */
import {spawn} from 'node:child_process';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {createServer, request} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {z} from 'zod';
import {type ServerOptions} from '../../stand-ins/server/behaviour.js';
import {startStandInServer, type StandInServer} from '../../stand-ins/server/server.js';

const announcementSchema = z.object({load: z.object({inFlight: z.number()})});
const portSchema = z.object({port: z.number()});

const defaults: ServerOptions = {
	host: '127.0.0.1',
	port: 0,
	service: 'booking',
	name: 'server-1',
	slots: 2,
	queueLength: 0,
	serviceTimeMilliseconds: 1,
	distribution: 'fixed',
	seed: 1,
	coldStartMilliseconds: 0,
	coldStartFactor: 1,
};

async function start(
	context: TestContext,
	options: Partial<ServerOptions> = {},
): Promise<StandInServer & {readonly url: string}> {
	const server = await startStandInServer({...defaults, ...options});
	context.after(async () => server.stop());
	return {...server, url: `http://127.0.0.1:${server.port}`};
}

async function setFaults(url: string, faults: Record<string, unknown>): Promise<number> {
	const body = JSON.stringify(faults);
	const response = await fetch(`${url}/stand-in/faults`, {method: 'PUT', body});
	await response.text();
	return response.status;
}

test('a response carries the digest of the body, and the journal records the run', async context => {
	const {url} = await start(context);
	const body = 'enlarger bay 4';
	const response = await fetch(`${url}/bays`, {
		method: 'POST',
		body,
		headers: {'x-request-id': 'r-1', 'idempotency-key': 'k-1'},
	});
	const digest = createHash('sha256').update(body).digest('hex');
	expect(await response.json()).toEqual({
		server: 'server-1',
		service: 'booking',
		requestId: 'r-1',
		key: 'k-1',
		digest,
		bytes: body.length,
	});
	const journal = await fetch(`${url}/stand-in/journal`);
	expect(await journal.json()).toEqual([
		expect.subset({requestId: 'r-1', key: 'k-1', state: 'completed', digest}),
	]);
});

const faultCases: ReadonlyArray<{
	readonly name: string;
	readonly faults: Record<string, unknown>;
	readonly status: number;
	readonly outcome: string;
	readonly ran: number;
}> = [
	{name: 'faultless', faults: {}, status: 200, outcome: '', ran: 1},
	{name: 'shedding', faults: {shed: true}, status: 503, outcome: 'not-run', ran: 0},
	{name: 'failing fast', faults: {failFast: true}, status: 500, outcome: '', ran: 1},
	{name: 'straggling', faults: {straggleFactor: 20}, status: 200, outcome: '', ran: 1},
];

for (const {name, faults, status, outcome, ran} of faultCases) {
	test(`a ${name} server responds with ${status} (journal entries: ${ran})`, async context => {
		const {url, context: server} = await start(context);
		expect(await setFaults(url, faults)).toEqual(200);
		const response = await fetch(url);
		await response.text();
		expect(response.status).toEqual(status);
		expect(response.headers.get('foxtailtide-outcome') ?? '').toEqual(outcome);
		expect(server.journal.entries.length).toEqual(ran);
	});
}

test('an unknown fault is rejected', async context => {
	const {url} = await start(context);
	expect(await setFaults(url, {unheardOf: true})).toEqual(400);
});

test('a server without a free slot or queue place sheds requests', async context => {
	const {url, context: server} = await start(context, {slots: 1});
	await server.slots.acquire();
	const refused = await fetch(url);
	await refused.text();
	server.slots.release();
	const served = await fetch(url);
	await served.text();
	expect([refused.status, served.status]).toEqual([503, 200]);
});

test('a request past its deadline is cancelled and frees its slot', async context => {
	const {url, context: server} = await start(context, {slots: 1});
	const headers = {'x-stand-in-service-time-ms': '5000', 'foxtailtide-deadline-ms': '20'};
	const response = await fetch(url, {headers});
	expect(response.status).toEqual(504);
	expect(server.journal.entries.map(entry => entry.state)).toEqual(['cancelled']);
	expect(server.slots.inUse()).toEqual(0);
});

test('a large response repeats the digest; a cut response closes the connection', async context => {
	const {url} = await start(context);
	const headers = {'x-stand-in-answer-bytes': '1000000'};
	const complete = await fetch(url, {headers});
	const text = await complete.text();
	const digest = complete.headers.get('x-stand-in-digest') ?? '';
	expect(text).toEqual(
		digest.repeat(Math.ceil(1_000_000 / digest.length)).slice(0, 1_000_000),
	);
	const cut = await fetch(url, {
		headers: {...headers, 'x-stand-in-cut-after-bytes': '100000'},
	});
	await expect(cut.text()).toBeRejected();
});

test('a server announces itself, reports the load set by its faults, and withdraws', async context => {
	const received: string[] = [];
	const node = createServer((incoming, response) => {
		incoming.setEncoding('utf8');
		let body = '';
		incoming.on('data', (chunk: string) => {
			body += chunk;
		});
		incoming.on('end', () => {
			const load =
				body === ''
					? ''
					: ` ${JSON.stringify(announcementSchema.parse(JSON.parse(body)).load)}`;
			received.push(`${incoming.method} ${incoming.url}${load}`);
			response.end();
		});
	});
	node.listen(0, '127.0.0.1');
	await once(node, 'listening');
	context.after(() => node.close());
	const address = node.address();
	const port = typeof address === 'object' ? address?.port : 0;
	const server = await startStandInServer({...defaults, local: `127.0.0.1:${port}`});
	await setFaults(`http://127.0.0.1:${server.port}`, {reportedInFlight: 7});
	await server.stop();
	expect(received).toEqual([
		'POST /announcements {"inFlight":0}',
		'POST /announcements {"inFlight":7}',
		'POST /announcements {"inFlight":7}',
		'DELETE /announcements/server-1',
	]);
});

test('a request with the crash header kills the process', async context => {
	const entry = path.resolve(import.meta.dirname, '../../stand-ins/server/main.ts');
	const child = spawn(process.execPath, ['--import', 'tsx', entry], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	context.after(() => child.kill('SIGKILL'));
	const output: unknown[] = await once(child.stdout, 'data');
	const {port} = portSchema.parse(JSON.parse(String(output[0])));
	const exit = once(child, 'exit');
	const crash = request({
		port,
		host: '127.0.0.1',
		headers: {'x-stand-in-crash': '1'},
	}).end();
	const errors: unknown[] = await once(crash, 'error');
	expect(String(errors[0])).toEqual('Error: socket hang up');
	expect(await exit).toEqual([null, 'SIGKILL']);
});
