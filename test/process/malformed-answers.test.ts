/**
 * Guards against a node that ends by one malformed answer of a server, and with it every call in hand: Node.js parses
 * statuses and names of headers that it throws at when they are written on.
 */
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	callAll,
	countServed,
	countSound,
	findHarmful,
	startWithOneServer,
	unusualHeaders,
	type MessageCase,
} from '../support/malformed-messages.js';

const latin1 = 'latin1';
const speedProbeMilliseconds = 300;
const statuses = ['000', '042', '099', '100', '101', '103', '204', '304', '600', '999'];
const chunked = 'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n';
const largeChunk = `Transfer-Encoding: chunked\r\n\r\n1e8480\r\n${'b'.repeat(2_000_000)}`;

function createAnswerCase(name: string, line: string, rest: string): MessageCase {
	return {
		name,
		async play(mesh) {
			const {server} = mesh.nodes[0]!;
			server.answerRaw((socket, id) => {
				const text = `${line}\r\nX-Request-Id: ${id}\r\nX-Response-Seal: seal-${id}\r\n${rest}`;
				socket.setMaxListeners(0);
				socket.on('error', () => undefined);
				socket.write(Buffer.from(text, latin1), () => {
					if (rest === largeChunk) {
						socket.resetAndDestroy();
					}
				});
			});
			await callAll(mesh);
			server.answerRaw(undefined);
		},
	};
}

const ok = 'HTTP/1.1 200 OK';
const empty = 'Content-Length: 0\r\n\r\n';
const answerCases = [
	...statuses.map(status =>
		createAnswerCase(`status ${status}`, `HTTP/1.1 ${status} Unusual`, empty),
	),
	...unusualHeaders.flatMap(header => [
		createAnswerCase(header, ok, `${header}\r\n${empty}`),
		createAnswerCase(`${header} as a trailer`, ok, `${chunked}${header}\r\n\r\n`),
	]),
	createAnswerCase(
		'a reason with control characters',
		'HTTP/1.1 200 \u0001\u00E9',
		empty,
	),
	createAnswerCase('a large answer that is reset', ok, largeChunk),
	createAnswerCase('a large failure that is reset', 'HTTP/1.1 500 Error', largeChunk),
	createAnswerCase(
		'a large rejection that is reset',
		'HTTP/1.1 503 Full',
		`X-Not-Executed: 1\r\n${largeChunk}`,
	),
];

test('no answer of a server ends a node that passes it on', async context => {
	const mesh = await startWithOneServer(context);
	expect(await findHarmful(mesh, answerCases)).toEqual([]);
	expect(await countServed(mesh)).toEqual(countSound(mesh));
});

const healthCases = [...statuses, '200'].flatMap(status =>
	[
		': a',
		'with space: a',
		'X-Instance-Id: \u00E9',
		...(status === '200' ? unusualHeaders : []),
	].map(header => ({
		name: `status ${status} and ${header}`,
		async play(mesh: Parameters<MessageCase['play']>[0]) {
			const {server} = mesh.nodes[0]!;
			const text = `HTTP/1.1 ${status} Unusual\r\n${header}\r\n${empty}`;
			server.answerHealthRaw(socket => {
				socket.write(Buffer.from(text, latin1));
			});
			await callAll(mesh);
			server.answerHealthRaw(undefined);
			await sleep(speedProbeMilliseconds);
		},
	})),
);

test('no health answer of a server ends its node', async context => {
	const mesh = await startWithOneServer(context);
	expect(await findHarmful(mesh, healthCases)).toEqual([]);
	expect(await countServed(mesh)).toEqual(countSound(mesh));
});
