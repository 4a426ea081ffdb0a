/** Responses between two nodes that end early, or are written once more. */
import {Buffer} from 'node:buffer';
import {createServer as createHttpServer, request as sendRequest} from 'node:http';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {Readable} from 'node:stream';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
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
import {createAwaitedRoutes} from '../../src/relay/awaited-routes.js';
import {createPeerClient} from '../../src/relay/peer-client.js';
import {createRelayPeerListener} from '../../src/relay/peer-listener.js';
import {createInboundLink} from '../../src/waiting/index.js';
import {buildPeerHeaders, buildResponseHeaders} from '../../src/relay/peer-headers.js';
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

const cases: ReadonlyArray<readonly [string, () => AttemptResult]> = [
	['of known length', () => answered],
	['of unknown length', () => ({...answered, body: Readable.from(['in two', 'parts'])})],
	['without a body', () => ({...answered, body: new Uint8Array(0)})],
	['that refuses', () => refused],
];
for (const [name, createResult] of cases) {
	for (const cut of ['end', 'resetAndDestroy'] as const) {
		test(`a response ${name}, cut after any of its bytes, is never taken for whole (${cut})`, async context => {
			const result = createResult();
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

test('time in which the body of an attempt arrives is not given back to it', async context => {
	const received: RelayAttempt[] = [];
	const listener = createRelayPeerListener({
		run(attempt) {
			received.push(attempt);
			return {result: Promise.resolve(answered), cancel: () => undefined};
		},
		routes: () => undefined,
		awaitedRoutes: createAwaitedRoutes({version: () => 0, sleep}),
		describeStoreClock: () => undefined,
		inboundLink: createInboundLink(1000),
		now: () => performance.now(),
	});
	await new Promise<void>(resolve => {
		listener.listen(0, host, resolve);
	});
	context.after(() => {
		listener.close();
		listener.closeAllConnections();
	});
	const {port} = listener.address() as AddressInfo;
	const attempt = createAttempt(1);
	const sentAt = performance.now();
	const answer = new Promise(resolve => {
		const request = sendRequest(
			{
				host,
				port,
				method: 'POST',
				headers: [
					'host',
					'node',
					'content-length',
					'4',
					...buildPeerHeaders(attempt, sentAt),
				],
			},
			resolve,
		);
		request.write('bo');
		setTimeout(() => request.end('dy'), 700);
	});
	await answer;
	const {deadlineAt, targetAt} = received[0]!.call;
	// Clocks of both ends are the same here; a head takes a few milliseconds.
	expect(deadlineAt - attempt.call.deadlineAt).toBeLessThan(300);
	expect(targetAt - attempt.call.targetAt).toBeLessThan(300);
});
