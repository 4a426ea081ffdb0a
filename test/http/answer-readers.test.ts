/**
 * Every reader of an answer knows that it is valid and whole. An answer without a length ends with its connection, and a
 * reset of it may look like that end; Node.js parses heads that HTTP does not allow.
 */
import {once} from 'node:events';
import {Agent} from 'node:http';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendApiRequest} from '../../src/command/administration-client.js';
import {exchangeKinds, startExchange} from '../../src/http/index.js';
import {parseExperiment} from '../../src/load/index.js';
import {sendLoadRequest} from '../../src/load/sender.js';
import {askPeer} from '../../src/relay/peer-proof.js';
import {askForRoutes} from '../../src/relay/peer-routes-question.js';
import {createTableClient} from '../../src/table/index.js';
import {describeMember} from '../membership/simulated-mesh.js';

const host = '127.0.0.1';
const experiment = `
name: one
seed: 1
durationSeconds: 1
targets: ['127.0.0.1:1']
streams: [{name: one, service: one, ratePerSecond: 1}]
`;
/** Followed by a row, a document or a report; a part of it may be valid too. */
const head =
	'HTTP/1.1 200 OK\r\nETag: "1"\r\nFoxtailtide-Store-Clock: 1 5\r\nConnection: close\r\n';

/** Whether a reader takes what it gets for an answer, and for all of it. */
type TakesAnswer = (port: number) => Promise<boolean>;

const readers: ReadonlyArray<readonly [string, TakesAnswer]> = [
	[
		'an exchange with a server, its health path or another node',
		async port => {
			const agent = new Agent();
			const {kind} = await startExchange({
				agent,
				host,
				port,
				method: 'GET',
				path: '/',
				headers: [],
				body: new Uint8Array(0),
				awaitContinue: false,
				bufferLimitBytes: 0,
			}).result;
			agent.destroy();
			return kind === exchangeKinds.answered;
		},
	],
	[
		'the client of the table',
		async port => {
			const client = createTableClient({address: `http://${host}:${port}`});
			const row = await client.read('row');
			client.close();
			return row.isOk();
		},
	],
	[
		'the question for routes',
		async port => {
			const document = await askForRoutes(
				describeMember({nodeId: 'peer', host, peerPort: port}),
				{
					newerThan: 0,
					onWaiting: () => undefined,
					onReceiving: () => undefined,
					signal: AbortSignal.timeout(2000),
				},
			);
			return document !== undefined;
		},
	],
	[
		'the question for the clock of the store',
		async port =>
			(await askPeer(describeMember({nodeId: 'peer', host, peerPort: port}))) !==
			undefined,
	],
	[
		'the client of the administration',
		async port => {
			const url = new URL(`http://${host}:${port}`);
			const response = await sendApiRequest(
				{url, token: 'token'},
				{method: 'GET', path: '/state'},
			);
			return response.isOk();
		},
	],
	[
		'the load tool',
		async port => {
			const agent = new Agent();
			const {status} = await sendLoadRequest({
				stream: parseExperiment(experiment)._unsafeUnwrap().streams[0]!,
				requestId: 'one',
				caller: 'caller',
				host,
				port,
				agent,
			});
			agent.destroy();
			return status === 200;
		},
	],
];

type AnswerCase = {
	readonly name: string;
	readonly write: (socket: Socket) => void;
	readonly isSound: boolean;
};

const cases: readonly AnswerCase[] = [
	{
		name: 'whose connection ends in order',
		write: socket => socket.end(`${head}\r\n12`),
		isSound: true,
	},
	{
		name: 'whose connection is reset at once',
		write(socket) {
			socket.write(`${head}\r\n12`, () => {
				socket.resetAndDestroy();
			});
		},
		isSound: false,
	},
	{
		name: 'whose connection is reset later',
		write(socket) {
			socket.write(`${head}\r\n12`, () => {
				setTimeout(() => socket.resetAndDestroy(), 20);
			});
		},
		isSound: false,
	},
	...['000', '099', '600'].map(status => ({
		name: `with status ${status}`,
		write: (socket: Socket) => socket.end(`${head.replace('200', status)}\r\n12`),
		isSound: false,
	})),
	...['with blank: a', 'blank-behind : a', ': a', 'with\u0001byte: a'].map(line => ({
		name: `with the header ${JSON.stringify(line)}`,
		write: (socket: Socket) => socket.end(`${head}${line}\r\n\r\n12`),
		isSound: false,
	})),
];

for (const [reader, takes] of readers) {
	for (const {name, write, isSound} of cases) {
		test(`${reader} ${isSound ? 'takes' : 'refuses'} an answer ${name}`, async context => {
			const server = createServer(socket => {
				socket.on('error', () => undefined);
				socket.once('data', () => {
					write(socket);
				});
			});
			server.listen(0, host);
			await once(server, 'listening');
			context.after(() => server.close());
			const {port} = server.address() as AddressInfo;
			expect(await takes(port)).toEqual(isSound);
		});
	}
}
