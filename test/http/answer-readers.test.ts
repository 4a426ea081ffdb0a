/**
 * Every reader of an answer asks by what it knows that the answer is whole. An answer without a length ends with its
 * connection, and a reset of it may look like that end.
 */
import {once} from 'node:events';
import {Agent} from 'node:http';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendApiRequest} from '../../src/command/administration-client.js';
import {parseExperiment} from '../../src/load/index.js';
import {sendLoadRequest} from '../../src/load/sender.js';
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
/** A row, a document or a report: a part of it may be valid too. */
const answer = 'HTTP/1.1 200 OK\r\nETag: "1"\r\nConnection: close\r\n\r\n12';

/** Whether a reader takes what it gets for a whole answer. */
type TakesForWhole = (port: number) => Promise<boolean>;

const readers: ReadonlyArray<readonly [string, TakesForWhole]> = [
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

const ends: ReadonlyArray<readonly [string, (socket: Socket) => void, boolean]> = [
	['ends in order', socket => socket.end(), true],
	['is reset at once', socket => socket.resetAndDestroy(), false],
	['is reset later', socket => setTimeout(() => socket.resetAndDestroy(), 20), false],
];

for (const [reader, takesForWhole] of readers) {
	for (const [name, end, isWhole] of ends) {
		test(`${reader} ${isWhole ? 'takes' : 'does not take'} an answer for whole whose connection ${name}`, async context => {
			const server = createServer(socket => {
				socket.on('error', () => undefined);
				socket.once('data', () => {
					socket.write(answer, () => {
						end(socket);
					});
				});
			});
			server.listen(0, host);
			await once(server, 'listening');
			context.after(() => server.close());
			const {port} = server.address() as AddressInfo;
			expect(await takesForWhole(port)).toEqual(isWhole);
		});
	}
}
