/**
 * Invalid input to the data listener: each case gets a typed refusal, with outcome `not-run` unless
 * part of it may have been passed on. No server gets what is `not-run`, and the node keeps serving.
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import fc from 'fast-check';
import {z} from 'zod';
import {sendCall} from '../support/http.js';
import {startMesh} from '../support/mesh.js';

const answerTimeoutMilliseconds = 20_000;
const service = 'foxtailtide-service: booking\r\n';
const host = 'host: node\r\n';

type Case = {
	readonly name: string;
	readonly text: string;
	readonly status: number;
	readonly refusal: string;
	/** `not-run` unless part of the request may have been passed on. */
	readonly outcome?: string;
	/** Whether the caller closes its sending side after the text. */
	readonly closesSending?: boolean;
};

const cases: readonly Case[] = [
	{
		name: 'a request head over the size limit',
		text: `GET / HTTP/1.1\r\n${host}${service}x-long: ${'a'.repeat(20_000)}\r\n\r\n`,
		status: 431,
		refusal: 'malformed',
	},
	{
		name: 'input that is not HTTP',
		text: '\u0016\u0003\u0001 hello\r\n\r\n',
		status: 400,
		refusal: 'malformed',
	},
	{
		name: 'a header without a colon',
		text: `GET / HTTP/1.1\r\n${host}${service}broken header\r\n\r\n`,
		status: 400,
		refusal: 'malformed',
	},
	{
		name: 'a request head that ends early',
		text: `GET / HTTP/1.1\r\n${host}`,
		status: 400,
		refusal: 'malformed',
		closesSending: true,
	},
	{
		name: 'both a content length and chunked encoding',
		text: `POST / HTTP/1.1\r\n${host}${service}idempotency-key: k\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
		status: 400,
		refusal: 'malformed',
	},
	{
		name: 'two different content lengths',
		text: `POST / HTTP/1.1\r\n${host}${service}idempotency-key: k\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde`,
		status: 400,
		refusal: 'malformed',
	},
	{
		name: 'a content length that is not a number',
		text: `POST / HTTP/1.1\r\n${host}${service}idempotency-key: k\r\ncontent-length: four\r\n\r\nabcd`,
		status: 400,
		refusal: 'malformed',
	},
	{
		name: 'an invalid chunk size',
		text: `POST / HTTP/1.1\r\n${host}${service}idempotency-key: k\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n`,
		status: 400,
		refusal: 'malformed',
		outcome: 'unknown',
	},
	{
		name: 'a bare line feed inside a header',
		text: `GET / HTTP/1.1\r\n${host}${service}x-a: b\nx-injected: c\r\n\r\n`,
		status: 400,
		refusal: 'malformed',
	},
	{
		name: 'a zero byte inside a header',
		text: `GET / HTTP/1.1\r\n${host}${service}x-a: b\u0000c\r\n\r\n`,
		status: 400,
		refusal: 'malformed',
	},
	// Node.js parses such heads and throws when they are passed on: one of them ended the process.
	...[': a', 'with space: a', 'space-behind : a'].map(line => ({
		name: `the header "${line}"`,
		text: `GET / HTTP/1.1\r\n${host}${service}${line}\r\n\r\n`,
		status: 400,
		refusal: 'malformed',
	})),
	...['/\t', '/?a=\f'].map(path => ({
		name: `the path ${JSON.stringify(path)}`,
		text: `GET ${path} HTTP/1.1\r\n${host}${service}\r\n`,
		status: 400,
		refusal: 'malformed',
	})),
	{
		name: 'a missing service',
		text: `GET / HTTP/1.1\r\n${host}\r\n`,
		status: 400,
		refusal: 'malformed',
	},
	{
		name: 'two services',
		text: `GET / HTTP/1.1\r\n${host}${service}foxtailtide-service: ledger\r\n\r\n`,
		status: 400,
		refusal: 'malformed',
	},
	{
		name: 'an unknown service',
		text: `GET / HTTP/1.1\r\n${host}foxtailtide-service: darkroom\r\n\r\n`,
		status: 404,
		refusal: 'unknown-service',
	},
	...['soon', '-1', '1e3', '99999999999', '1.5', ''].map(deadline => ({
		name: `the invalid deadline "${deadline}"`,
		text: `GET / HTTP/1.1\r\n${host}${service}foxtailtide-deadline-ms: ${deadline}\r\n\r\n`,
		status: 400,
		refusal: 'malformed',
	})),
	{
		name: 'a deadline that has passed',
		text: `GET / HTTP/1.1\r\n${host}${service}foxtailtide-deadline-ms: 0\r\n\r\n`,
		status: 504,
		refusal: 'deadline-exceeded',
	},
	{
		name: 'a key over the size limit',
		text: `POST / HTTP/1.1\r\n${host}${service}idempotency-key: ${'k'.repeat(600)}\r\n\r\n`,
		status: 400,
		refusal: 'malformed',
	},
	{
		name: 'a non-idempotent call without a key',
		text: `POST / HTTP/1.1\r\n${host}${service}content-length: 3\r\n\r\nabc`,
		status: 428,
		refusal: 'key-missing',
	},
	{
		name: 'a forged issued key',
		text: `POST / HTTP/1.1\r\n${host}${service}idempotency-key: ftk1.AAAA.BBBB\r\ncontent-length: 3\r\n\r\nabc`,
		status: 400,
		refusal: 'key-invalid',
	},
	{
		name: 'a body that stalls',
		text: `POST / HTTP/1.1\r\n${host}${service}idempotency-key: k\r\nfoxtailtide-deadline-ms: 300\r\ncontent-length: 40\r\n\r\nabc`,
		status: 504,
		refusal: 'deadline-exceeded',
	},
	{
		name: 'a request head that never ends',
		text: `GET / HTTP/1.1\r\n${host}x-slow: `,
		status: 408,
		refusal: 'malformed',
	},
	{
		name: 'a CONNECT request',
		text: `CONNECT other:80 HTTP/1.1\r\n${host}${service}\r\n`,
		status: 400,
		refusal: 'malformed',
	},
];

const journalSchema = z.array(z.unknown());

type Answer = {
	readonly status: number;
	readonly refusal: string;
	readonly outcome: string;
};

/** Sends bytes unchanged, then those that `followUp` resolves to, and reads the first response. */
async function sendRaw(
	port: number,
	text: string,
	closesSending = false,
	followUp?: () => Promise<string>,
): Promise<Answer> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => {
		socket.destroy();
	});
	let received = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		received += chunk;
	});
	await once(socket, 'connect');
	socket.write(text, 'latin1');
	if (followUp) {
		socket.write(await followUp(), 'latin1');
	}

	if (closesSending) {
		socket.end();
	}

	const limit = Date.now() + answerTimeoutMilliseconds;
	while (!received.includes('\r\n\r\n') && !socket.destroyed && Date.now() < limit) {
		await sleep(5);
	}

	socket.destroy();
	const readHeader = (name: string): string =>
		new RegExp(String.raw`\r\n${name}: ([^\r]*)`, 'iv').exec(received)?.[1] ?? 'none';
	return {
		status: Number(received.split(' ')[1] ?? 0),
		refusal: readHeader('foxtailtide-refusal'),
		outcome: readHeader('foxtailtide-outcome'),
	};
}

test('invalid input gets a typed refusal with its outcome, and none that is not-run is passed on', async context => {
	const [node] = await startMesh(context, [{service: 'booking'}]);
	const journalUrl = `http://127.0.0.1:${node!.serverPort}/stand-in/journal`;
	await fetch(journalUrl, {method: 'DELETE'});
	for (const {name, text, status, refusal, outcome = 'not-run', closesSending} of cases) {
		await context.test(`${name} is refused as ${outcome}`, async () => {
			const answer = await sendRaw(node!.dataPort, text, closesSending);
			expect(answer).toEqual({status, refusal, outcome});
			const journal = await fetch(journalUrl);
			const ran: unknown[] = journalSchema.parse(await journal.json());
			expect(outcome === 'not-run' ? ran : []).toEqual([]);
			await fetch(journalUrl, {method: 'DELETE'});
		});
	}

	const good = await sendCall({port: node!.dataPort, service: 'booking'});
	expect([good.status, good.outcome]).toEqual([200, 'ran']);
});

test('malformed bytes after a call in flight do not make its outcome not-run', async context => {
	const [node] = await startMesh(context, [{service: 'booking'}]);
	const journalUrl = `http://127.0.0.1:${node!.serverPort}/stand-in/journal`;
	await fetch(journalUrl, {method: 'DELETE'});
	const call = `GET / HTTP/1.1\r\n${host}${service}x-stand-in-service-time-ms: 1500\r\n\r\n`;
	let started = 0;
	const answer = await sendRaw(node!.dataPort, call, false, async () => {
		for (let tries = 0; tries < 200 && started === 0; tries += 1) {
			await sleep(5);
			const journal = await fetch(journalUrl);
			started = journalSchema.parse(await journal.json()).length;
		}

		return 'nonsense\r\n\r\n';
	});
	expect(started).toEqual(1);
	expect(answer.outcome).not.toEqual('not-run');
});

test('random bytes neither reach a server nor stop the node', async context => {
	const [node] = await startMesh(context, [{service: 'booking'}]);
	const journalUrl = `http://127.0.0.1:${node!.serverPort}/stand-in/journal`;
	await fetch(journalUrl, {method: 'DELETE'});
	const bytes = fc.string({unit: 'binary-ascii', minLength: 1, maxLength: 200});
	const property = fc.asyncProperty(bytes, async sample => {
		const answer = await sendRaw(node!.dataPort, `${sample}\r\n\r\n`, true);
		expect(['not-run', 'none']).toInclude(answer.outcome);
	});
	await fc.assert(property, {seed: 52, numRuns: 60});
	const journal = await fetch(journalUrl);
	expect(await journal.json()).toEqual([]);
	const good = await sendCall({port: node!.dataPort, service: 'booking'});
	expect([good.status, good.outcome]).toEqual([200, 'ran']);
});
