/**
 * Guards against a node that ends by one malformed request of a caller or of another node, and with it every call in
 * hand: Node.js parses paths and names of headers that it throws at when they are passed on.
 */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	countServed,
	countSound,
	findHarmful,
	sendBytes,
	startWithOneServer,
	unusualHeaders,
	type MessageCase,
} from '../support/malformed-messages.js';

const paths = [
	'/search/\t',
	'/search/?a=\f',
	'/search/\u00E9',
	'/search/%',
	'/search/\u007F',
	'*',
];
const largeChunk = `${(2_000_000).toString(16)}\r\n${'b'.repeat(2_000_000)}`;
const heads = [
	...unusualHeaders.flatMap(header => [
		`GET /search/a HTTP/1.1\r\nHost: bays.example\r\n${header}`,
		`POST /book/a HTTP/1.1\r\nHost: bays.example\r\n${header}`,
	]),
	...paths.flatMap(path => [
		`GET ${path} HTTP/1.1\r\nHost: bays.example`,
		`GET ${path} HTTP/1.0\r\nHost: bays.example`,
	]),
	'CONNECT bays.example:80 HTTP/1.1\r\nHost: bays.example',
	'M-SEARCH /search/a HTTP/1.1\r\nHost: bays.example',
	'GET /search/a HTTP/1.1\r\nHost: \u00E9\t\u00FF',
];
let count = 0;

function createCallCase(head: string, body = ''): MessageCase {
	return {
		name: head,
		async play({nodes}) {
			await Promise.all(
				nodes.map(async ({callersPort}) => {
					count += 1;
					const own = `X-Request-Id: call-${count}\r\nX-Request-Deadline: 700`;
					await sendBytes(callersPort, `${head}\r\n${own}\r\n\r\n${body}`);
				}),
			);
		},
	};
}

const chunkedHead =
	'POST /book/a HTTP/1.1\r\nHost: bays.example\r\nTransfer-Encoding: chunked';

test('no request of a caller ends a node', async context => {
	const mesh = await startWithOneServer(context);
	const cases = [
		...heads.map(head => createCallCase(head)),
		...unusualHeaders.map(header =>
			createCallCase(chunkedHead, `2\r\nab\r\n0\r\n${header}\r\n\r\n`),
		),
		createCallCase(chunkedHead, largeChunk),
	];
	expect(await findHarmful(mesh, cases)).toEqual([]);
	expect(await countServed(mesh)).toEqual(countSound(mesh));
});

const soundHead = 'GET /search/sound HTTP/1.1\r\nHost: bays.example';
const soundFigures = '1,400,400,900,2';
const figures = [
	'NaN,,,NaN,',
	'1,400,400,Infinity,2',
	'1,-5,1e400,900,1.5',
	'-1,1e99,9,9,-2',
];

function createAttemptCase(head: string, numbers = soundFigures, body = ''): MessageCase {
	return {
		name: `${head} ${numbers}`,
		async play({nodes}) {
			count += 1;
			const own = [
				`foxtailtide-attempt: node-9/1/${Date.now() + count}`,
				`foxtailtide-request: attempt-${count}`,
				'foxtailtide-route: search',
				'foxtailtide-service: bookings',
				'foxtailtide-origin: bookings',
				`foxtailtide-figures: ${numbers}`,
				'foxtailtide-flags: i',
				`X-Request-Id: attempt-${count}`,
			];
			await sendBytes(
				nodes[0]!.peerPort,
				`${head}\r\n${own.join('\r\n')}\r\n\r\n${body}`,
			);
		},
	};
}

test('no attempt of another node ends a node', async context => {
	const mesh = await startWithOneServer(context);
	const cases = [
		...heads.map(head => createAttemptCase(head)),
		...['origin', 'team', 'service'].map(name =>
			createAttemptCase(`${soundHead}\r\nfoxtailtide-${name}: a%0Ab`),
		),
		...figures.map(numbers => createAttemptCase(soundHead, numbers)),
		createAttemptCase(chunkedHead, soundFigures, largeChunk),
	];
	const {server} = mesh.nodes[0]!;
	await createAttemptCase(soundHead).play(mesh);
	expect(server.receivedRequests.length).toEqual(1);
	expect(await findHarmful(mesh, cases)).toEqual([]);
	expect(await countServed(mesh)).toEqual(countSound(mesh));
});
