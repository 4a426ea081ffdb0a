/**
 * Requests that callers send behind each other over one connection, at a real relay node: order,
 * planned stops, malformed bytes and callers that leave. A response that closes the connection tells
 * the caller that what it sent behind was not read, so none of that may run.
 */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {serverBehaviours} from '../../stand-ins/platform/server.js';
import {startRelayMesh, waitFor, type RelayNode} from '../support/relay-mesh.js';

const host = '127.0.0.1';
const answerMilliseconds = 10_000;

type Answer = {
	readonly status: number;
	readonly requestId: string;
	readonly closes: boolean;
};

function formatRequest(id: string, path = '/search/bays', method = 'GET'): string {
	return `${method} ${path} HTTP/1.1\r\nHost: bays.example\r\nX-Request-Id: ${id}\r\nX-Request-Deadline: 1400\r\n\r\n`;
}

function createIds(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_value, index) => `${prefix}-${index}-id`);
}

/** Splits the received text into answers; every body has a length. */
function parseAnswers(text: string): Answer[] {
	const answers: Answer[] = [];
	let rest = text;
	for (;;) {
		const end = rest.indexOf('\r\n\r\n');
		if (end === -1) {
			return answers;
		}

		const head = rest.slice(0, end);
		const read = (pattern: RegExp) => pattern.exec(head)?.groups?.value ?? '';
		answers.push({
			status: Number(read(/^HTTP\/1\.1 (?<value>\d+)/v)),
			requestId: read(/^x-request-id: (?<value>.*)$/imv),
			closes: /^connection: close$/imv.test(head),
		});
		rest = rest.slice(end + 4 + Number(read(/^content-length: (?<value>\d+)$/imv)));
	}
}

function openSocket(port: number): Socket {
	const socket = connect(port, host);
	socket.on('error', () => undefined);
	socket.setTimeout(answerMilliseconds, () => {
		socket.destroy();
	});
	return socket;
}

function openConnection(port: number): {socket: Socket; received: () => string} {
	const socket = openSocket(port);
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
	});
	return {socket, received: () => text};
}

function listRun({server}: RelayNode): string[] {
	return server.receivedRequests.map(({requestId}) => requestId);
}

test('80 requests sent together are answered in their order, each with its own answer', async t => {
	const {nodes} = await startRelayMesh(t, 1, 5);
	const ids = createIds('order', 80);
	const {socket, received} = openConnection(nodes[0]!.callersPort);
	socket.write(ids.map(id => formatRequest(id)).join(''));
	await waitFor(() => parseAnswers(received()).length === ids.length);
	socket.destroy();
	expect(parseAnswers(received()).map(({requestId}) => requestId)).toEqual(ids);
	expect(listRun(nodes[0]!).toSorted()).toEqual(ids.toSorted());
});

test('a request that may not run twice starts after the answers to those before it', async t => {
	const {nodes} = await startRelayMesh(t, 1, 100);
	const {socket, received} = openConnection(nodes[0]!.callersPort);
	socket.write(
		formatRequest('first') +
			formatRequest('second', '/book/bay', 'DELETE') +
			formatRequest('third'),
	);
	await waitFor(() => parseAnswers(received()).length === 3);
	socket.destroy();
	const {receivedRequests} = nodes[0]!.server;
	expect(receivedRequests.map(({requestId}) => requestId)).toEqual([
		'first',
		'second',
		'third',
	]);
	const [first, second, third] = receivedRequests;
	expect(second!.at - first!.at).toBeGreaterThanOrEqual(95);
	expect(third!.at - second!.at).toBeGreaterThanOrEqual(95);
});

test('during a planned stop what runs is answered in order, and nothing behind the close runs', async t => {
	const {nodes} = await startRelayMesh(t, 1, 300);
	const [node] = nodes;
	const started = createIds('started', 3);
	const late = createIds('late', 3);
	const {socket, received} = openConnection(node!.callersPort);
	socket.write(started.map(id => formatRequest(id)).join(''));
	await waitFor(() => listRun(node!).length === started.length);
	node!.child.kill('SIGTERM');
	await waitFor(() => node!.logs.some(({message}) => message === 'node stopping'));
	socket.write(late.map(id => formatRequest(id)).join(''));
	await once(socket, 'close');
	const answers = parseAnswers(received());
	expect(answers.map(({requestId, status}) => [requestId, status])).toEqual(
		started.map(id => [id, 200]),
	);
	expect(answers.map(({closes}) => closes)).toEqual([false, false, true]);
	await node!.ended;
	expect(listRun(node!).toSorted()).toEqual(started.toSorted());
});

test('malformed bytes behind two requests are refused after both answers', async t => {
	const {nodes} = await startRelayMesh(t, 1, 50);
	const {socket, received} = openConnection(nodes[0]!.callersPort);
	socket.write(
		`${formatRequest('one')}${formatRequest('two')}\u0001\u0002 not HTTP\r\n\r\n`,
	);
	await once(socket, 'close');
	const answers = parseAnswers(received());
	expect(answers.map(({status}) => status)).toEqual([200, 200, 400]);
	expect(answers.slice(0, 2).map(({requestId}) => requestId)).toEqual(['one', 'two']);
	expect(answers[2]!.closes).toEqual(true);
});

test('of a caller that leaves, no request behind those that run is started', async t => {
	const {nodes} = await startRelayMesh(t, 1, 200);
	const ids = createIds('left', 40);
	const {socket} = openConnection(nodes[0]!.callersPort);
	socket.write(ids.map(id => formatRequest(id)).join(''));
	await waitFor(() => listRun(nodes[0]!).length > 0);
	socket.destroy();
	await sleep(1500);
	expect(listRun(nodes[0]!).length).toBeLessThanOrEqual(8);
	expect(nodes[0]!.child.exitCode === null).toEqual(true);
});

test('a body without end reaches the caller as broken off at the deadline', async t => {
	const {nodes} = await startRelayMesh(t, 1);
	nodes[0]!.server.setBehaviour(serverBehaviours.endless);
	// What arrives until the deadline may not fit into one string.
	const socket = openSocket(nodes[0]!.callersPort);
	let wasReset = false;
	socket.on('error', () => {
		wasReset = true;
	});
	let lastChunk = '';
	socket.on('data', chunk => {
		lastChunk = chunk.toString('latin1');
	});
	const startedAt = performance.now();
	socket.write(formatRequest('endless'));
	await once(socket, 'close');
	expect(performance.now() - startedAt).toBeLessThanOrEqual(2400);
	expect(wasReset || !lastChunk.endsWith('0\r\n\r\n')).toEqual(true);
	nodes[0]!.server.setBehaviour(serverBehaviours.normal);
	const next = openConnection(nodes[0]!.callersPort);
	next.socket.write(formatRequest('next'));
	await waitFor(() => parseAnswers(next.received()).length === 1);
	next.socket.destroy();
	expect(parseAnswers(next.received())[0]!.requestId).toEqual('next');
});
