/** Relay processes with stand-in servers and a stand-in store, end to end. */
import {Agent} from 'node:http';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	sendNodeRequest,
	createConfiguration,
	startRelayMesh,
	waitFor,
	type LogLine,
} from '../support/relay-mesh.js';

test('each caller gets the response to its own request, and the server gets correct metadata', async context => {
	const {nodes} = await startRelayMesh(context, 2);
	const ids = Array.from({length: 60}, (_, index) => `request-${index}`);
	const answers = await Promise.all(
		ids.map(async (id, index) =>
			sendNodeRequest(nodes[index % 2]!.callersPort, `/search/${index}`, {
				headers: {
					'x-request-id': id,
					'x-caller-service': 'forged',
				},
			}),
		),
	);
	const unserved = new Set(ids.filter((_, index) => answers[index]!.status !== 200));
	for (const line of nodes.flatMap(({logs}) => logs)) {
		if (unserved.has(String(line.request))) {
			console.log(JSON.stringify(line));
		}
	}

	expect(answers.map(({status}) => status)).toEqual(ids.map(() => 200));
	expect(answers.map(({body}) => body)).toEqual(ids.map(id => `answer to ${id}`));
	const seen = nodes.flatMap(({server}) => server.receivedRequests);
	expect(seen.every(({originService}) => originService === 'bookings')).toEqual(true);
	expect(seen.every(({deadlineMilliseconds}) => deadlineMilliseconds <= 1400)).toEqual(
		true,
	);
});

test('the request id is in the logs of the node that received it and of the one that ran it', async context => {
	const {nodes} = await startRelayMesh(context, 2);
	await nodes[0]!.server.drain();
	const answer = await sendNodeRequest(nodes[0]!.callersPort, '/search/1', {
		headers: {
			'x-request-id': 'followed',
		},
	});
	expect(answer.status).toEqual(200);
	const messagesOf = (logs: readonly LogLine[]) =>
		logs.filter(({request}) => request === 'followed').map(({message}) => message);
	await waitFor(
		() =>
			messagesOf(nodes[0]!.logs).includes('call answered') &&
			messagesOf(nodes[1]!.logs).includes('gate finished'),
	);
	expect(messagesOf(nodes[0]!.logs)).toEqual([
		'call received',
		'call placed',
		'call answered',
	]);
	// `gate queued` may come first, when the speed of the server has to be probed.
	expect(messagesOf(nodes[1]!.logs).slice(-2)).toEqual(['gate started', 'gate finished']);
});

test('a draining server gets no new requests once the drain is acknowledged', async context => {
	const {nodes} = await startRelayMesh(context, 2);
	expect(await nodes[0]!.server.drain()).toEqual(200);
	const before = nodes[0]!.server.receivedRequests.length;
	const answers = await Promise.all(
		Array.from({length: 20}, async (_, index) =>
			sendNodeRequest(nodes[index % 2]!.callersPort, '/search/2', {
				headers: {'x-request-id': `late-${index}`},
			}),
		),
	);
	expect(answers.every(({status}) => status === 200)).toEqual(true);
	expect(nodes[0]!.server.receivedRequests.length).toEqual(before);
});

test('a non-idempotent request runs once when its connection breaks, an idempotent one is retried', async context => {
	const {nodes} = await startRelayMesh(context, 2);
	nodes[0]!.server.resetConnectionsOnPath('broken');
	nodes[1]!.server.resetConnectionsOnPath('broken');
	const unsafe = await sendNodeRequest(nodes[0]!.callersPort, '/book/broken', {
		headers: {'x-request-id': 'unsafe'},
		method: 'POST',
	});
	const safe = await sendNodeRequest(nodes[0]!.callersPort, '/search/broken', {
		headers: {
			'x-request-id': 'safe',
		},
	});
	const countRuns = (id: string) =>
		nodes
			.flatMap(({server}) => server.receivedRequests)
			.filter(({requestId}) => requestId === id).length;
	expect(unsafe.status).toEqual(502);
	expect(countRuns('unsafe')).toEqual(1);
	expect(safe.status).toEqual(502);
	expect(countRuns('safe')).toEqual(2);
});

test('a later configuration becomes active at every node, and an earlier one never again', async context => {
	const {nodes, store} = await startRelayMesh(context, 2);
	const unknown = await sendNodeRequest(nodes[0]!.callersPort, '/new/1');
	expect(unknown.status).toEqual(404);
	store.putConfiguration(createConfiguration(3, '/new/'));
	await waitFor(() =>
		nodes.every(({logs}) =>
			logs.some(({message, version}) => message === 'routes in force' && version === 3),
		),
	);
	store.putConfiguration(createConfiguration(2));
	store.putConfiguration({version: 'r9', hosts: 'unreadable'});
	await waitFor(() =>
		nodes.every(({logs}) => logs.some(({message}) => message === 'routes unreadable')),
	);
	const answers = await Promise.all(
		nodes.map(async ({callersPort}) =>
			sendNodeRequest(callersPort, '/new/1', {
				headers: {'x-request-id': `new-${callersPort}`},
			}),
		),
	);
	expect(answers.map(({status}) => status)).toEqual([200, 200]);
});

test('a node that does not poll the table gets a configuration from one that does', async context => {
	const {nodes, store} = await startRelayMesh(context, 3);
	// Nodes that have just started do not poll until they know the other nodes.
	await sleep(3000);
	store.putConfiguration(createConfiguration(5, '/new/'));
	await waitFor(() =>
		nodes.every(({logs}) =>
			logs.some(({message, version}) => message === 'routes in force' && version === 5),
		),
	);
	const sources = nodes.map(
		({logs}) =>
			logs.findLast(({message}) => message === 'routes in force')!.source as string,
	);
	expect(sources.filter(source => source === 'table').length).toEqual(2);
	expect(sources.filter(source => source.startsWith('node-')).length).toEqual(1);
});

test('a stopping node refuses requests that may outlast it, and cuts off none', async context => {
	const {nodes} = await startRelayMesh(context, 2, 60);
	const [stopping] = nodes;
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const answers: Array<{id: string; status: number}> = [];
	stopping!.child.kill('SIGTERM');
	// A caller that ignores readiness and the close of its connection.
	for (let index = 0; stopping!.child.exitCode === null; index += 1) {
		const id = `stubborn-${index}`;
		const {status} = await sendNodeRequest(stopping!.callersPort, '/book/1', {
			headers: {'x-request-id': id},
			method: 'POST',
			agent,
		});
		answers.push({id, status});
	}

	const seen = new Set(
		nodes.flatMap(({server}) => server.receivedRequests.map(({requestId}) => requestId)),
	);
	expect(answers.some(({status}) => status === 503)).toEqual(true);
	expect(answers.filter(({id, status}) => seen.has(id) && status !== 200)).toEqual([]);
});

test('calls are served while the store is unavailable, and its return is detected', async context => {
	const {nodes, store} = await startRelayMesh(context, 2);
	store.setUnavailable(true);
	// A change ends the open long poll while the store refuses new ones.
	store.putConfiguration(createConfiguration(4, '/new/'));
	await waitFor(() =>
		nodes.every(({logs}) => logs.some(({message}) => message === 'table lost')),
	);
	const during = await sendNodeRequest(nodes[0]!.callersPort, '/search/1', {
		headers: {
			'x-request-id': 'during',
		},
	});
	expect(during.status).toEqual(200);
	store.setUnavailable(false);
	await waitFor(() =>
		nodes.every(({logs}) => logs.some(({message}) => message === 'table regained')),
	);
});

test('a planned stop under load cuts off no request', async context => {
	const {nodes} = await startRelayMesh(context, 3, 60);
	const [stopping, ...others] = nodes;
	const statuses: number[] = [];
	const load = {isOver: false};
	const send = async (port: number, name: string): Promise<void> => {
		for (let index = 0; !load.isOver; index += 1) {
			const answer = await sendNodeRequest(port, '/search/1', {
				headers: {'x-request-id': `${name}-${index}`},
			});
			statuses.push(answer.status);
		}
	};

	const senders = others.flatMap(({callersPort}, node) =>
		Array.from({length: 4}, async (_, index) => send(callersPort, `${node}-${index}`)),
	);
	const own = Array.from({length: 4}, async (_, index) => {
		for (let count = 0; stopping!.child.exitCode === null; count += 1) {
			const {status} = await sendNodeRequest(stopping!.readinessPort, '/ready');
			if (status !== 200) {
				return;
			}

			const answer = await sendNodeRequest(stopping!.callersPort, '/search/1', {
				headers: {
					'x-request-id': `own-${index}-${count}`,
				},
			});
			statuses.push(answer.status);
		}
	});
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	stopping!.child.kill('SIGTERM');
	await stopping!.ended;
	load.isOver = true;
	await Promise.all([...senders, ...own]);
	expect(stopping!.child.exitCode).toEqual(0);
	expect(statuses.length).toBeGreaterThan(100);
	expect(statuses.filter(status => status !== 200)).toEqual([]);
	expect(stopping!.logs.some(({message}) => message === 'node stopped')).toEqual(true);
});

test('metrics and the state dump are served', async context => {
	const {nodes} = await startRelayMesh(context, 1);
	await sendNodeRequest(nodes[0]!.callersPort, '/search/1', {
		headers: {'x-request-id': 'counted'},
	});
	const metrics = await sendNodeRequest(nodes[0]!.metricsPort, '/metrics');
	expect(metrics.body.includes('foxtailtide_call_milliseconds_bucket')).toEqual(true);
	const state = await sendNodeRequest(nodes[0]!.metricsPort, '/state');
	const dump = JSON.parse(state.body) as {routesVersion: number};
	expect(dump.routesVersion).toEqual(1);
});
