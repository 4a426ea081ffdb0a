/**
 * A request that crashes each server that runs it comes again at every node. Only few servers may be lost
 * to it, and what is sent beside it has to be served.
 */
import {performance} from 'node:perf_hooks';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	sendNodeRequest,
	startRelayMesh,
	waitUntilAllKnown,
	waitUntilReady,
	type NodeResponse,
	type RelayNode,
} from '../support/relay-mesh.js';

const nodeCount = 6;
const backAfterMilliseconds = 2000;
const playMilliseconds = 11_000;
/** From then on after the third crash, only a few retries may reach servers. */
const contactMilliseconds = 3000;
const maximumLateRetries = 3;
const soundIntervalMilliseconds = 15;

type Sent = {readonly at: number; readonly response: NodeResponse};

type RequestKind = {
	readonly path: string;
	readonly method: string;
	readonly crashingBody?: string;
	readonly soundBody?: string;
	/** Path of the sound requests. */
	readonly soundPath: string;
	/** How often the crashing request comes again. */
	readonly repeatMilliseconds: number;
	/** Whether it comes at all nodes at the same time, or at one after the other. */
	readonly isEverywhere?: boolean;
};

type Schedule = {readonly interval: number; readonly isEverywhere: boolean};

/** Sends requests to the nodes until the play ends. */
async function sendRepeatedly(
	nodes: readonly RelayNode[],
	{interval, isEverywhere}: Schedule,
	create: (index: number) => {
		readonly id: string;
		readonly path: string;
		readonly method: string;
		readonly body: string | undefined;
	},
): Promise<Sent[]> {
	const endsAt = performance.now() + playMilliseconds;
	const pending: Array<Promise<Sent>> = [];
	for (let index = 0; performance.now() < endsAt; index += 1) {
		const {id, path, method, body} = create(index);
		const at = performance.now();
		const targets = isEverywhere ? nodes : [nodes[index % nodes.length]!];
		for (const {callersPort} of targets) {
			const answer = sendNodeRequest(callersPort, path, {
				method,
				headers: {'x-request-id': `${id}-${callersPort}`},
				...(body !== undefined && {body}),
			});
			pending.push(answer.then(response => ({at, response})));
		}

		await sleep(interval);
	}

	return Promise.all(pending);
}

async function play(context: TestContext, kind: RequestKind) {
	const {nodes} = await startRelayMesh(context, nodeCount);
	const {path, method, isEverywhere = false} = kind;
	for (const {server} of nodes) {
		server.crashOn(
			(requested, body) => requested === path && body === (kind.crashingBody ?? ''),
			backAfterMilliseconds,
		);
	}

	const [crashing, sound] = await Promise.all([
		sendRepeatedly(nodes, {interval: kind.repeatMilliseconds, isEverywhere}, index => ({
			id: `crashing-${index}`,
			path,
			method,
			body: kind.crashingBody,
		})),
		sendRepeatedly(
			nodes,
			{interval: soundIntervalMilliseconds, isEverywhere: false},
			index => ({
				id: `sound-${index}`,
				path: kind.soundPath,
				method,
				body: kind.soundBody,
			}),
		),
	]);
	const crashes = nodes.flatMap(({server}) => server.crashes).toSorted((a, b) => a - b);
	const lateFrom =
		(crashes[2] ?? Number.POSITIVE_INFINITY) +
		contactMilliseconds +
		performance.timeOrigin;
	const arrivals = nodes
		.flatMap(({server}) => server.receivedRequests)
		.filter(({requestId}) => requestId.startsWith('crashing-'))
		.toSorted((a, b) => a.at - b.at);
	const lateRetries = arrivals.slice(1).filter(({at}) => at > lateFrom);
	const unserved = sound.filter(({response}) => response.status !== 200);
	console.log(
		`${crashes.length} crashes, ${lateRetries.length} late retries, ${unserved.length} of ${sound.length} others not served`,
	);
	return {nodes, crashing, crashes, lateRetries, unserved};
}

type Played = Awaited<ReturnType<typeof play>>;

function expectRefusedAfterFewCrashes({crashing, crashes, lateRetries}: Played): void {
	expect(crashes.length).toBeGreaterThan(0);
	expect(lateRetries.length).toBeLessThanOrEqual(maximumLateRetries);
	const last = crashing.at(-1)!.response;
	expect([last.status, last.headers['foxtailtide-outcome']]).toEqual([503, 'not-run']);
}

/** Requests that ran beside the crashing one may be lost with the server, later ones may not. */
function expectOthersServed({crashes, unserved}: Played): void {
	const lastCrash = crashes.at(-1)!;
	const late = unserved.filter(({at}) => at > lastCrash + 100);
	expect(late.map(({response}) => response.status)).toEqual([]);
	// A crash takes at most the requests in the server's slots with it.
	expect(unserved.length).toBeLessThanOrEqual(crashes.length * 8);
}

test('a GET that crashes servers is refused at every node after few crashes, also after a restart', async context => {
	const played = await play(context, {
		path: '/search/crash',
		method: 'GET',
		repeatMilliseconds: 700,
		soundPath: '/search/sound',
	});
	expectRefusedAfterFewCrashes(played);
	expectOthersServed(played);
	const [node] = played.nodes;
	await node!.restart();
	await waitUntilReady(node!);
	await waitUntilAllKnown(node!, nodeCount);
	const {status} = await sendNodeRequest(node!.callersPort, '/search/crash', {
		headers: {'x-request-id': 'after-restart'},
	});
	expect(status).toEqual(503);
	expect(played.nodes.flatMap(({server}) => server.crashes).length).toEqual(
		played.crashes.length,
	);
});

test('a POST whose body crashes servers is refused, others of the same path are served', async context => {
	const played = await play(context, {
		path: '/book/1',
		method: 'POST',
		crashingBody: 'crash',
		soundPath: '/book/1',
		soundBody: 'crash ',
		repeatMilliseconds: 700,
	});
	expectRefusedAfterFewCrashes(played);
	expectOthersServed(played);
});

test('a GET that crashes servers and comes at all nodes at once is refused after few crashes', async context => {
	const played = await play(context, {
		path: '/search/crash',
		method: 'GET',
		repeatMilliseconds: 3500,
		isEverywhere: true,
		soundPath: '/search/sound',
	});
	expectRefusedAfterFewCrashes(played);
});
