/** A planned stop of a relay node cuts nothing that it has passed on, whatever comes during the stop. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	createConfiguration,
	sendNodeRequest,
	startRelayMesh,
} from '../support/relay-mesh.js';

const workMilliseconds = 900;
const pauseMilliseconds = 100;

// The second signal ended the process, and cut what it had passed on.
test('a stopping node that gets more signals answers what it has passed on', async context => {
	const {nodes} = await startRelayMesh(context, 2, workMilliseconds);
	const [stopping] = nodes;
	const calls = Array.from({length: 6}, async (_, index) =>
		sendNodeRequest(stopping!.callersPort, '/book/1', {
			method: 'POST',
			headers: {'x-request-id': `call-${index}`},
		}),
	);
	await sleep(pauseMilliseconds);
	for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGINT', 'SIGTERM'] as const) {
		stopping!.child.kill(signal);
		await sleep(pauseMilliseconds);
	}

	const answers = await Promise.all(calls);
	expect(answers.map(({status}) => status)).toEqual(calls.map(() => 200));
	await stopping!.ended;
	expect(stopping!.child.exitCode).toEqual(0);
});

const chunkBytes = 100_000;
const chunks = 30;
const chunkMilliseconds = 100;

/** A configuration whose requests may last longer than a stop without any. */
function createPatientConfiguration(): unknown {
	const configuration = createConfiguration(1) as {
		hosts: Array<{paths: Array<Record<string, unknown>>}>;
	};
	for (const path of configuration.hosts[0]!.paths) {
		path['timeout-ms'] = 4500;
	}

	return configuration;
}

// A stopping gate counted an answer over 1 MB as finished from its head on, and ended.
test('a stopping node passes large answers of its server on to their end', async context => {
	const configuration = createPatientConfiguration();
	const {nodes} = await startRelayMesh(context, 2, 30, {configuration});
	const [stopping, other] = nodes;
	await other!.server.drain();
	stopping!.server.answerRaw((socket, id) => {
		const seal = `X-Request-Id: ${id}\r\nX-Response-Seal: seal-${id}`;
		socket.write(
			`HTTP/1.1 200 OK\r\n${seal}\r\nContent-Length: ${chunkBytes * chunks}\r\n\r\n`,
		);
		let sent = 0;
		const timer = setInterval(() => {
			sent += 1;
			socket.write('b'.repeat(chunkBytes));
			if (sent === chunks) {
				clearInterval(timer);
			}
		}, chunkMilliseconds);
		socket.once('close', () => {
			clearInterval(timer);
		});
	});
	const calls = Array.from({length: 4}, async (_, index) =>
		sendNodeRequest(other!.callersPort, '/search/1', {
			headers: {'x-request-id': `large-${index}`, 'x-request-deadline': '4500'},
		}),
	);
	await sleep(2 * pauseMilliseconds);
	stopping!.child.kill('SIGTERM');
	const answers = await Promise.all(calls);
	expect(answers.map(({body}) => body.length)).toEqual(
		calls.map(() => chunkBytes * chunks),
	);
	await stopping!.ended;
	expect(stopping!.child.exitCode).toEqual(0);
});
