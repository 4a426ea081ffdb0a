/** Responses between two nodes that end early, or are written once more. */
import {Buffer} from 'node:buffer';
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {
	attemptResultKinds,
	createRefusal,
	outcomes,
	refusalKinds,
	type AttemptResult,
} from '../../src/call/index.js';
import {writeAttemptResult} from '../../src/http/index.js';
import type {RelayAttempt} from '../../src/relay/call.js';
import {createPeerClient} from '../../src/relay/peer-client.js';
import {buildResponseHeaders} from '../../src/relay/peer-headers.js';
import {describeMember} from '../membership/simulated-mesh.js';
import {createCall} from '../support/relay-call.js';

const host = '127.0.0.1';

function createAttempt(sequence: number): RelayAttempt {
	return {
		id: {ingress: 'node/1', sequence},
		isRetry: false,
		call: createCall(`request-${sequence}`),
	};
}

const answered: AttemptResult = {
	kind: attemptResultKinds.answered,
	status: 200,
	headers: ['X-Request-Id', 'request-1', 'X-Response-Seal', 'seal'],
	body: new TextEncoder().encode('the whole body'),
	isCloseDelimited: false,
	load: undefined,
};
const refused: AttemptResult = {
	kind: attemptResultKinds.refused,
	refusal: createRefusal(refusalKinds.overloaded, 'try again later'),
	outcome: outcomes.notRun,
	load: undefined,
};

/** The bytes that a node writes for a result. */
async function captureBytes(result: AttemptResult): Promise<Uint8Array> {
	const server = createHttpServer((_request, response) => {
		response.writeProcessing();
		writeAttemptResult(response, result, buildResponseHeaders(createAttempt(1).id));
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	const {port} = server.address() as AddressInfo;
	const chunks: Uint8Array[] = [];
	await new Promise<void>(resolve => {
		const socket = connect(port, host);
		socket.on('data', chunk => chunks.push(chunk));
		socket.on('close', resolve);
		socket.end('POST / HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n');
	});
	server.close();
	return Buffer.concat(chunks);
}

/** A node that answers each request on a connection by a function. */
async function startPeer(context: TestContext, answer: (socket: Socket) => void) {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			answer(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	const client = createPeerClient({
		socket: {requestCancellation: async () => undefined},
		log: {info: () => undefined, warn: () => undefined, error: () => undefined},
		now: () => performance.now(),
	});
	context.after(() => {
		client.close();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const {port} = server.address() as AddressInfo;
	const member = describeMember({nodeId: 'peer', host, peerPort: port});
	return async (sequence: number) =>
		client.send(member, createAttempt(sequence), 1).result;
}

const cases: ReadonlyArray<readonly [string, AttemptResult]> = [
	['of known length', answered],
	['that its server ended by a close', {...answered, isCloseDelimited: true}],
	['without a body', {...answered, isCloseDelimited: true, body: new Uint8Array(0)}],
	['that refuses', refused],
];
for (const [name, result] of cases) {
	for (const cut of ['end', 'resetAndDestroy'] as const) {
		test(`a response ${name}, cut after any of its bytes, is never taken for whole (${cut})`, async context => {
			const bytes = await captureBytes(result);
			const state = {length: 0};
			const send = await startPeer(context, socket => {
				socket.write(bytes.subarray(0, state.length), () => {
					socket[cut]();
				});
			});
			const taken: Array<readonly [number, string]> = [];
			for (state.length = 0; state.length < bytes.length; state.length += 1) {
				const {kind} = await send(1);
				if (kind !== attemptResultKinds.lost) {
					taken.push([state.length, kind]);
				}
			}

			expect(taken).toEqual([]);
			const whole = await send(1);
			expect(whole.kind).toEqual(result.kind);
		});
	}
}

test('a refusal that a node writes once more does not make the next attempt count as not run', async context => {
	const bytes = await captureBytes(refused);
	const send = await startPeer(context, socket => {
		socket.write(bytes);
	});
	const first = await send(1);
	expect(first.kind).toEqual(attemptResultKinds.refused);
	const second = await send(2);
	expect(second.kind).toEqual(attemptResultKinds.lost);
});
