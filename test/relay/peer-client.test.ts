/** The result of an attempt that its gate did not acknowledge, for each answer of the gate. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import type {Member} from '../../src/membership/index.js';
import type {RelayAttempt} from '../../src/relay/call.js';
import {createPeerClient, resolveUnacknowledged} from '../../src/relay/peer-client.js';

const now = 10_000;
const ignore = (): void => undefined;

function createAttempt(idempotent: boolean, targetAt: number): RelayAttempt {
	return {
		id: {ingress: 'node/1', sequence: 1},
		isRetry: false,
		call: {
			requestId: 'request',
			route: 'route',
			service: 'search',
			method: 'GET',
			path: '/',
			headers: [],
			body: new Uint8Array(0),
			originService: 'search',
			rank: 1,
			idempotent,
			nested: false,
			repeated: false,
			targetMilliseconds: 400,
			arrivedAt: now - 250,
			targetAt,
			deadlineAt: now + 750,
			maximumAttempts: 2,
			team: undefined,
			homes: undefined,
		},
	};
}

const cases: ReadonlyArray<
	readonly [string, boolean | undefined, boolean, number, string | undefined, number]
> = [
	[
		'an attempt that was never dispatched has not run',
		true,
		false,
		now + 150,
		'refused',
		0,
	],
	[
		'a dispatched attempt is awaited until its latency target',
		false,
		true,
		now + 150,
		'lost',
		150,
	],
	[
		'a dispatched attempt past its latency target is lost at once',
		false,
		true,
		now - 1,
		'lost',
		0,
	],
	[
		'an attempt is lost at once if the gate does not answer',
		undefined,
		true,
		now + 150,
		'lost',
		0,
	],
	[
		'a dispatched attempt that is not idempotent is awaited until the deadline',
		false,
		false,
		now + 150,
		undefined,
		0,
	],
	[
		'an attempt that is not idempotent is awaited if the gate does not answer',
		undefined,
		false,
		now + 150,
		undefined,
		0,
	],
];

for (const [name, neverDispatched, idempotent, targetAt, kind, wait] of cases) {
	test(name, () => {
		const {result, waitMilliseconds} = resolveUnacknowledged(
			neverDispatched,
			createAttempt(idempotent, targetAt),
			now,
		);
		expect<string | undefined>(result?.kind).toEqual(kind);
		expect(waitMilliseconds).toEqual(wait);
	});
}

/** Listens as the gate of a member. */
async function listenAsMember(server: Server, context: TestContext): Promise<Member> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.closeAllConnections();
		server.close();
	});
	return {
		nodeId: 'gate',
		incarnation: 1,
		status: 'alive',
		host: '127.0.0.1',
		peerPort: (server.address() as AddressInfo).port,
		controlPort: 1,
		region: 'coast',
		failureDomain: 'coast-a',
		slots: 1,
		revision: 1,
	};
}

/** Lets the event loop process what was written before. */
async function runEventLoop(): Promise<void> {
	for (let turn = 0; turn < 50; turn += 1) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

const brokenConnections = [
	['an attempt that waited at the gate has not run', true, 'refused'],
	['a dispatched attempt is lost', false, 'lost'],
	['an attempt is lost if the gate does not answer', undefined, 'lost'],
] as const;

for (const [name, neverDispatched, kind] of brokenConnections) {
	test(`when the connection breaks, ${name}`, async context => {
		const server = createServer((_request, response) => {
			response.writeProcessing();
			setImmediate(() => {
				response.destroy();
			});
		});
		const member = await listenAsMember(server, context);
		const peers = createPeerClient({
			socket: {requestCancellation: async () => neverDispatched},
			log: {info: ignore, warn: ignore, error: ignore},
			now: () => now,
		});
		const {result} = peers.send(member, createAttempt(false, now + 150), 1);
		const ended = await result;
		expect<string>(ended.kind).toEqual(kind);
		peers.close();
	});
}

test('the response is awaited if the acknowledgement comes during the cancellation', async context => {
	let response: ServerResponse | undefined;
	const server = createServer((_request, opened) => {
		response = opened;
	});
	const member = await listenAsMember(server, context);
	const peers = createPeerClient({
		socket: {
			async requestCancellation() {
				response!.writeProcessing();
				await runEventLoop();
				void runEventLoop().then(() => {
					response!.writeHead(200, {'foxtailtide-outcome': 'ran', 'content-length': 2});
					response!.end('ok');
				});
				return false;
			},
		},
		log: {info: ignore, warn: ignore, error: ignore},
		now: () => now,
	});
	// Its latency target has passed, so without an acknowledgement it would be lost at once.
	const {result} = peers.send(member, createAttempt(true, now - 1), 1);
	const ended = await result;
	expect<string>(ended.kind).toEqual('answered');
	peers.close();
});
