/**
 * A request crashes every server that runs it, and its caller resends it through every ingress
 * during ordinary traffic. Only few servers may be lost before the request is refused everywhere,
 * and the concurrent calls must be served.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendCall, type CallAnswer} from '../support/http.js';
import {startMesh, type MeshNode} from '../support/mesh.js';

const service = 'availability';
const nodeCount = 5;
const ordinaryIntervalMilliseconds = 10;
const ordinaryCalls = 300;
/** Number of servers that one request may crash before it is refused everywhere. */
const maximumServersLost = 2;

async function sendOrdinary(nodes: readonly MeshNode[]): Promise<CallAnswer[]> {
	const pending: Array<Promise<CallAnswer>> = [];
	for (let index = 0; index < ordinaryCalls; index += 1) {
		const node = nodes[index % nodes.length]!;
		pending.push(
			sendCall({
				port: node.dataPort,
				service,
				path: `/bays/${index}`,
				headers: {'foxtailtide-caller': `studio-${index % 7}`},
			}),
		);
		await sleep(ordinaryIntervalMilliseconds);
	}

	return Promise.all(pending);
}

async function sendCrashing(node: MeshNode): Promise<CallAnswer> {
	return sendCall({
		port: node.dataPort,
		service,
		path: '/crash',
		headers: {'foxtailtide-caller': 'unlucky', 'x-stand-in-crash': '1'},
	});
}

test('a request that crashes servers is refused everywhere after few crashes', async context => {
	const nodes = await startMesh(
		context,
		Array.from({length: nodeCount}, () => ({
			service,
			slots: 10,
			serviceTimeMilliseconds: 30,
		})),
	);
	const ordinary = sendOrdinary(nodes);
	await sleep(200);
	const outcomes: string[] = [];
	for (const node of [...nodes, ...nodes]) {
		const answer = await sendCrashing(node);
		outcomes.push(`${answer.status} ${answer.outcome}`);
		await sleep(150);
	}

	const answers = await ordinary;
	const lost = nodes.filter(
		({server}) => server.child.exitCode !== null || server.child.signalCode !== null,
	);
	const unserved = answers.filter(({outcome}) => outcome !== 'ran');
	console.log(`servers lost: ${lost.length}; told: ${outcomes.join(', ')}`);
	for (const {status, outcome, headers} of unserved) {
		console.log(
			`not served: ${status} ${outcome} ${String(headers['foxtailtide-refusal'])}`,
		);
	}

	console.log(`ordinary calls not served: ${unserved.length} of ${answers.length}`);
	expect(lost.length).toBeGreaterThan(0);
	expect(lost.length).toBeLessThan(maximumServersLost + 1);
	expect(outcomes.at(-1)).toEqual('422 not-run');
	expect(unserved.length).toEqual(0);
});
