/** Large documents of routes over narrow links between nodes. */
import {createServer} from 'node:http';
import {createServer as createTcpServer, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {askForRoutes} from '../../src/relay/peer-routes-question.js';
import {describeMember} from '../membership/simulated-mesh.js';

const host = '127.0.0.1';
const pieces = 15;

async function ask(port: number): Promise<string | undefined> {
	return askForRoutes(describeMember({nodeId: 'peer', host, peerPort: port}), {
		newerThan: 1,
		onWaiting: () => undefined,
		onReceiving: () => undefined,
		signal: new AbortController().signal,
	});
}

async function askNode(pieceMilliseconds: number): Promise<string | undefined> {
	const server = createServer((_request, response) => {
		const send = async (): Promise<void> => {
			response.writeHead(200);
			for (let piece = 0; piece < pieces; piece += 1) {
				response.write('r'.repeat(1000));
				await sleep(pieceMilliseconds);
			}

			response.end();
		};

		void send();
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	const {port} = server.address() as AddressInfo;
	const text = await ask(port);
	server.close();
	server.closeAllConnections();
	return text;
}

test('a large document arrives whole, however long its transfer takes', async () => {
	const text = await askNode(100);
	expect(text?.length).toEqual(pieces * 1000);
});

test('a node that falls silent midway gives no routes', async () => {
	expect(await askNode(1500)).toEqual(undefined);
});

test('a document of routes, cut after any of its bytes, is never taken for whole', async context => {
	const bytes =
		'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nroutes\r\n0\r\n\r\n';
	const state = {length: 0};
	const server = createTcpServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(bytes.slice(0, state.length));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	context.after(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	for (state.length = 0; state.length < bytes.length; state.length += 1) {
		expect(await ask(port)).toEqual(undefined);
	}

	expect(await ask(port)).toEqual('routes');
});
