/** Whatever is sent to the listeners of a relay node, the node goes on serving. */
import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {GateDatagram} from '../../src/generated/gate.js';
import {Packet} from '../../src/generated/membership.js';
import {sendNodeRequest, startRelayMesh} from '../support/relay-mesh.js';

const host = '127.0.0.1';
const seed = 20_261_204;
const connectionMilliseconds = 200;
const extremeNumber = fc.constantFrom(0, 1, 0x7f_ff_ff_ff, 0xff_ff_ff_ff);

const requestHead = fc
	.tuple(
		fc.constantFrom('GET', 'POST', 'DELETE', 'CONNECT', 'BREW'),
		fc.constantFrom(
			'/',
			'/search/%',
			'/foxtailtide/routes',
			'/Instances.Deregister/%',
			'*',
		),
		fc.array(
			fc.constantFrom(
				'Host: bays.example',
				'Host: %',
				'X-Request-Deadline: -1',
				'X-Request-Deadline: many',
				'X-Request-Id: ',
				'foxtailtide-attempt: node~1~1',
				'foxtailtide-attempt: ~~',
				'foxtailtide-figures: 1,2,3,4,5',
				'foxtailtide-figures: ,,,NaN',
				'foxtailtide-newer-than: many',
				'Transfer-Encoding: chunked',
				'Content-Length: 5',
				'Content-Length: -1',
				'Expect: 100-continue',
				'Connection: upgrade',
			),
			{maxLength: 6},
		),
	)
	.map(([method, path, headers]) =>
		Buffer.from(`${method} ${path} HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\nbody!`),
	);
const randomBytes = fc
	.uint8Array({minLength: 1, maxLength: 400})
	.map(bytes => Buffer.from(bytes));
const stream = fc.oneof(requestHead, randomBytes);

const loadQuestion = fc
	.record({
		route: fc.string(),
		rank: extremeNumber,
		nested: fc.boolean(),
		targetMilliseconds: extremeNumber,
		bodyBytes: extremeNumber,
	})
	.map(value =>
		GateDatagram.encode({sequence: 1, body: {$case: 'loadQuestion', value}}).finish(),
	);
const cancelQuestion = fc
	.record({
		ingress: fc.string(),
		sequence: extremeNumber,
		incarnation: extremeNumber,
		keepWaiting: fc.boolean(),
	})
	.map(value =>
		GateDatagram.encode({sequence: 1, body: {$case: 'cancelQuestion', value}}).finish(),
	);
const ping = fc
	.record({from: fc.string(), target: fc.string(), sequence: extremeNumber})
	.map(({from, target, sequence}) =>
		Packet.encode(
			Packet.fromPartial({from, body: {$case: 'ping', value: {target, sequence}}}),
		).finish(),
	);
const datagram = fc.oneof(loadQuestion, cancelQuestion, ping, randomBytes);

async function sendStream(port: number, bytes: Uint8Array): Promise<void> {
	const socket = connect(port, host);
	socket.on('error', () => undefined);
	socket.on('data', () => undefined);
	socket.setTimeout(connectionMilliseconds, () => {
		socket.destroy();
	});
	socket.end(bytes);
	await once(socket, 'close');
}

test('bad input at any listener neither ends a relay node nor keeps it from serving', async t => {
	const {nodes} = await startRelayMesh(t, 2);
	const [node] = nodes;
	const {callersPort, readinessPort, metricsPort, announcementsPort, peerPort} = node!;
	const streams = fc.sample(stream, {numRuns: 60, seed});
	for (const port of [
		callersPort,
		readinessPort,
		metricsPort,
		announcementsPort,
		peerPort,
	]) {
		await Promise.all(streams.map(async bytes => sendStream(port, bytes)));
	}

	const socket = createSocket('udp4');
	for (const bytes of fc.sample(datagram, {numRuns: 200, seed})) {
		socket.send(bytes, peerPort, host);
		socket.send(bytes, node!.gossipPort, host);
	}

	const answer = await sendNodeRequest(callersPort, '/search/after', {
		headers: {'x-request-id': 'after'},
	});
	socket.close();
	expect(answer.status).toEqual(200);
	expect(node!.child.exitCode === null).toEqual(true);
	expect(node!.logs.filter(({message}) => message === 'process failed')).toEqual([]);
});
