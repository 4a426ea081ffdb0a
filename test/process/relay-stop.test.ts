/** A planned stop of a relay node cuts nothing that it has passed on, whatever comes during the stop. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {sendNodeRequest, startRelayMesh} from '../support/relay-mesh.js';

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
