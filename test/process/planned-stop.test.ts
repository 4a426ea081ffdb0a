/**
 * Planned operations cut off no call: every node is replaced in turn under load, a server drains,
 * and a server that drains gets no new calls.
 */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendCall, type CallAnswer} from '../support/http.js';
import {readJournal, startMesh, type MeshNode} from '../support/mesh.js';
import {startProcess, type Cleaner} from '../support/processes.js';

const service = 'availability';
const callIntervalMilliseconds = 15;
const warmUpMilliseconds = 300;
/** How long a server may still get new calls after it announced its drain, in milliseconds. */
const drainBoundMilliseconds = 2000;

type Load = {
	readonly answers: CallAnswer[];
	readonly stop: () => Promise<void>;
};

/** Sends calls to the nodes in turn, over keep-alive connections, until it is stopped. */
function startLoad(cleaner: Cleaner, nodes: readonly MeshNode[]): Load {
	const agent = new Agent({keepAlive: true});
	const answers: CallAnswer[] = [];
	const pending: Array<Promise<unknown>> = [];
	let turn = 0;
	const timer = setInterval(() => {
		turn += 1;
		pending.push(callAnyNode(nodes, turn, agent).then(answer => answers.push(answer)));
	}, callIntervalMilliseconds);
	const stop = async (): Promise<void> => {
		clearInterval(timer);
		await Promise.all(pending);
		agent.destroy();
	};

	cleaner.after(stop);
	return {answers, stop};
}

async function callAnyNode(
	nodes: readonly MeshNode[],
	turn: number,
	agent: Agent,
): Promise<CallAnswer> {
	for (let tries = 0; ; tries += 1) {
		const node = nodes[(turn + tries) % nodes.length]!;
		const answer = await sendCall({
			port: node.dataPort,
			service,
			path: `/${turn}`,
			agent,
		});
		if (!answer.isConnectionRefused || tries >= nodes.length) {
			return answer;
		}
	}
}

function countOutcomes(answers: readonly CallAnswer[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {outcome} of answers) {
		counts[outcome] = (counts[outcome] ?? 0) + 1;
	}

	return counts;
}

async function startThreeNodes(context: Cleaner): Promise<MeshNode[]> {
	const node = {service, slots: 10, serviceTimeMilliseconds: 20};
	return startMesh(context, [node, node, node]);
}

test('replacing every node in turn under load cuts no call', async context => {
	const nodes = await startThreeNodes(context);
	const load = startLoad(context, nodes);
	await sleep(warmUpMilliseconds);
	for (const node of nodes) {
		const stopped = node.process;
		stopped.signal('SIGTERM');
		expect(await stopped.ended).toEqual(0);
		await startProcess(context, 'foxtailtide', ['node', '--settings', node.settingsFile]);
		await sleep(drainBoundMilliseconds);
	}

	await load.stop();
	const counts = countOutcomes(load.answers);
	console.log(`replaced every node: ${JSON.stringify(counts)}`);
	expect(counts).toEqual({ran: load.answers.length});
});

test('a draining server gets no new calls, and its calls in flight are finished', async context => {
	const nodes = await startThreeNodes(context);
	const load = startLoad(context, nodes);
	await sleep(warmUpMilliseconds);
	const [draining] = nodes;
	const drainedAt = Date.now();
	await sendCall({
		port: draining!.serverPort,
		service: 'none',
		method: 'POST',
		path: '/stand-in/drain',
	});
	await sleep(drainBoundMilliseconds + 500);
	await load.stop();
	const journal = await readJournal(draining!);
	const late = journal.filter(({startedAt}) => startedAt > drainedAt);
	const latest = Math.max(0, ...late.map(({startedAt}) => startedAt - drainedAt));
	const counts = countOutcomes(load.answers);
	console.log(`drained: ${JSON.stringify(counts)}, last new work after ${latest} ms`);
	expect(counts).toEqual({ran: load.answers.length});
	expect(latest).toBeLessThan(drainBoundMilliseconds);
});

test('a stopping node waits for a long call in flight', async context => {
	const nodes = await startThreeNodes(context);
	const [stopping] = nodes;
	const call = sendCall({
		port: stopping!.dataPort,
		service,
		headers: {'x-stand-in-service-time-ms': '4000', 'foxtailtide-deadline-ms': '10000'},
	});
	await sleep(warmUpMilliseconds);
	stopping!.process.signal('SIGTERM');
	const answer = await call;
	expect([answer.status, answer.outcome]).toEqual([200, 'ran']);
	expect(await stopping!.process.ended).toEqual(0);
});

// The second signal ended the process, and cut the call.
test('a stopping node that is told to stop again still waits for its calls', async context => {
	const nodes = await startThreeNodes(context);
	const [stopping] = nodes;
	const call = sendCall({
		port: stopping!.dataPort,
		service,
		headers: {'x-stand-in-service-time-ms': '1500', 'foxtailtide-deadline-ms': '10000'},
	});
	await sleep(warmUpMilliseconds);
	for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGINT'] as const) {
		stopping!.process.signal(signal);
		await sleep(warmUpMilliseconds / 3);
	}

	const answer = await call;
	expect([answer.status, answer.outcome]).toEqual([200, 'ran']);
	expect(await stopping!.process.ended).toEqual(0);
});
