/**
 * Guards against retries that pile up over all nodes of a service, though each node keeps to its part: a restarted
 * node has forgotten what it spent.
 */
import {performance} from 'node:perf_hooks';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {sendNodeRequest, startRelayMesh, type RelayNode} from '../support/relay-mesh.js';

const nodeCount = 6;
const playMilliseconds = 20_000;
const requestMilliseconds = 80;
const restartMilliseconds = 4000;
/** As in the settings of the nodes. */
const ratio = 0.2;
const slack = 58;
const windowMilliseconds = 10_000;
const stepMilliseconds = 100;

/** Sends requests to the nodes in turn; returns when each was sent. */
async function sendRequests(
	nodes: readonly RelayNode[],
	endsAt: number,
): Promise<number[]> {
	const sentAt: number[] = [];
	const answers: Array<Promise<unknown>> = [];
	for (let index = 0; performance.now() < endsAt; index += 1) {
		sentAt.push(Date.now());
		const {callersPort} = nodes[index % nodes.length]!;
		const headers = {'x-request-id': `request-${index}`};
		answers.push(sendNodeRequest(callersPort, '/search/fails', {headers}));
		await sleep(requestMilliseconds);
	}

	await Promise.all(answers);
	return sentAt;
}

/** Finds when servers received a request that some server had received before. */
function findRetries(nodes: readonly RelayNode[]): number[] {
	const seen = new Set<string>();
	const retries: number[] = [];
	const arrivals = nodes
		.flatMap(({server}) => server.receivedRequests)
		.toSorted((left, right) => left.at - right.at);
	for (const {requestId, at} of arrivals) {
		if (seen.has(requestId)) {
			retries.push(at);
		}

		seen.add(requestId);
	}

	return retries;
}

test('retries stay within the limit over all nodes while all are restarted again and again', async context => {
	const {nodes} = await startRelayMesh(context, nodeCount);
	// The first lives of the nodes have their whole part of the slack.
	await sleep(windowMilliseconds);
	for (const {server} of nodes) {
		server.setBehaviour('fail');
	}

	const endsAt = performance.now() + playMilliseconds;
	const restarts = async (): Promise<void> => {
		while (performance.now() < endsAt) {
			await sleep(restartMilliseconds);
			await Promise.all(nodes.map(async node => node.restart()));
		}
	};

	const [sentAt] = await Promise.all([sendRequests(nodes, endsAt), restarts()]);
	const retries = findRetries(nodes);
	let worst = 0;
	for (let start = sentAt[0]!; start < sentAt.at(-1)!; start += stepMilliseconds) {
		const count = (times: readonly number[], from: number): number =>
			times.filter(time => time >= from && time < from + windowMilliseconds).length;
		const requests = Math.max(
			...[0, 0.5, 1].map(share => count(sentAt, start - share * windowMilliseconds)),
		);
		worst = Math.max(worst, count(retries, start) / (ratio * requests + slack));
	}

	console.log(`${retries.length} retries, worst window ${worst.toFixed(2)} of the limit`);
	expect(retries.length).toBeGreaterThan(0);
	expect(worst).toBeLessThanOrEqual(1);
});
