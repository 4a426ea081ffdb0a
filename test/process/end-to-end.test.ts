/** Calls go from a caller through nodes to a server and back, all in separate processes. */
import {Buffer} from 'node:buffer';
import {createHash, randomBytes} from 'node:crypto';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendCall} from '../support/http.js';
import {startMesh} from '../support/mesh.js';

type ServerAnswer = {server: string; digest: string};

function readAnswer(body: Uint8Array): ServerAnswer {
	return JSON.parse(Buffer.from(body).toString('utf8')) as ServerAnswer;
}

test('every node serves every service, through the gate of a server of that service', async context => {
	const nodes = await startMesh(context, [
		{service: 'availability'},
		{service: 'booking'},
	]);
	for (const node of nodes) {
		for (const [index, service] of ['availability', 'booking'].entries()) {
			const answer = await sendCall({port: node.dataPort, service, path: '/bays?x=1'});
			expect(answer.status).toEqual(200);
			expect(answer.outcome).toEqual('ran');
			expect(readAnswer(answer.body).server).toEqual(`server-of-node-${index}`);
		}
	}
});

test('concurrent callers each get the complete response to their own request', async context => {
	const nodes = await startMesh(context, [
		{service: 'proofs', slots: 50},
		{service: 'proofs', slots: 50},
	]);
	const bodies = Array.from({length: 200}, (_, index) =>
		randomBytes(index % 5 === 0 ? 200_000 : 300),
	);
	const answers = await Promise.all(
		bodies.map(async (body, index) =>
			sendCall({
				port: nodes[index % 2]!.dataPort,
				service: 'proofs',
				method: 'PUT',
				path: `/proof/${index}`,
				body,
			}),
		),
	);
	for (const [index, answer] of answers.entries()) {
		expect(answer.outcome).toEqual('ran');
		const digest = createHash('sha256').update(bodies[index]!).digest('hex');
		expect(readAnswer(answer.body).digest).toEqual(digest);
	}
});

test('an unknown service is refused as not run', async context => {
	const [node] = await startMesh(context, [{service: 'availability'}]);
	const answer = await sendCall({port: node!.dataPort, service: 'nothing'});
	expect(answer.status).toEqual(404);
	expect(answer.outcome).toEqual('not-run');
});
