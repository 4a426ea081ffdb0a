/** The gate while the limit on health probes allows none. */
import {
	createServer,
	type IncomingMessage,
	type OutgoingHttpHeaders,
	type RequestListener,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {platformProtocol} from '../../platform/protocol.js';
import {serverStates} from '../../src/announcement/index.js';
import {attemptResultKinds, outcomes} from '../../src/call/index.js';
import {createInboundLink} from '../../src/waiting/index.js';
import type {RelayAttempt} from '../../src/relay/call.js';
import {createCrashQuarantine} from '../../src/relay/crash-quarantine.js';
import {createRelayGate} from '../../src/relay/gate.js';
import type {RelayGate, RelayGateOptions} from '../../src/relay/gate-types.js';

const silent = (): void => undefined;

/** A gate in front of a server, by default without health probes. */
async function startGate(
	context: TestContext,
	handle: RequestListener,
	probesPerSecond = 0,
	options: Partial<RelayGateOptions> = {},
) {
	const server = createServer(handle);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const gate = createRelayGate({
		protocol: platformProtocol,
		log: {info: silent, warn: silent, error: silent},
		now: () => performance.now(),
		random: () => 0.5,
		server: {host: '127.0.0.1', port, service: 'bookings'},
		coldRequestsPerSecond: () => Number.POSITIVE_INFINITY,
		isEvacuated: () => false,
		mayRunHere: () => true,
		inboundLink: createInboundLink(1000),
		maximumConnections: 10,
		healthPath: () => '/health',
		probesPerSecond,
		quarantine: createCrashQuarantine({
			nodeName: 'node/1',
			log: {info: silent, warn: silent, error: silent},
			now: () => performance.now(),
		}),
		retryPolicy: {ratio: 0.2, slack: 10, windowMilliseconds: 10_000},
		countGates: () => 1,
		onSlotsChanged: silent,
		hasAnnouncedLeaving: () => false,
		onServerLeaving: () => undefined,
		onAttemptEnd: silent,
		...options,
	});
	context.after(() => {
		gate.close();
		server.close();
		server.closeAllConnections();
	});
	gate.handleAnnouncement({
		id: 'server-1',
		address: `127.0.0.1:${port}`,
		service: 'bookings',
		slots: 4,
		state: serverStates.ready,
		sequence: 1,
		warmupMilliseconds: 0,
		startedAt: 1,
	});
	return gate;
}

function createAttempt(sequence: number): RelayAttempt {
	const at = performance.now();
	return {
		id: {ingress: 'node/1', sequence},
		isRetry: false,
		call: {
			requestId: `request-${sequence}`,
			route: 'search',
			service: 'bookings',
			method: 'GET',
			path: '/search/1',
			headers: ['X-Request-Id', `request-${sequence}`],
			body: new Uint8Array(0),
			originService: 'bookings',
			rank: 1,
			idempotent: true,
			nested: false,
			repeated: false,
			targetMilliseconds: 400,
			arrivedAt: at,
			targetAt: at + 400,
			deadlineAt: at + 2000,
			maximumAttempts: 2,
			team: undefined,
			homes: undefined,
		},
	};
}

function respond(
	request: IncomingMessage,
	response: ServerResponse,
	headers: OutgoingHttpHeaders = {},
): void {
	response.writeHead(200, {
		'x-request-id': request.headers['x-request-id'],
		'x-response-seal': 'seal',
		'content-length': '0',
		...headers,
	});
	response.end();
}

test('consecutive requests are served while no health probe is allowed', async context => {
	const gate = await startGate(context, (request, response) => {
		respond(request, response);
	});
	const kinds: string[] = [];
	for (let sequence = 1; sequence <= 3; sequence += 1) {
		const settled = await gate.run(createAttempt(sequence)).result;
		kinds.push(settled.kind);
		// By the next request the last speed report is stale.
		await sleep(20);
	}

	expect(kinds).toEqual([1, 2, 3].map(() => attemptResultKinds.answered));
});

test('a restarted gate that may not probe does not exceed a limit that it has yet to learn', async context => {
	let received = 0;
	const gate = await startGate(context, (request, response) => {
		received += 1;
		setTimeout(() => {
			respond(request, response, {'server-limit': '1'});
		}, 50);
	});
	const results = Array.from({length: 8}, async (_, index) => {
		const settled = await gate.run(createAttempt(index + 1)).result;
		return settled.kind;
	});
	const kinds = await Promise.all(results);
	// One before the limit is known, and one or two in the two seconds until the deadline.
	expect(received).toBeLessThanOrEqual(3);
	expect(kinds.includes(attemptResultKinds.answered)).toEqual(true);
});

test('a server without a limit gets as many requests at once as it has slots', async context => {
	const state = {running: 0, most: 0};
	const gate = await startGate(context, (request, response) => {
		state.running += 1;
		state.most = Math.max(state.most, state.running);
		setTimeout(() => {
			state.running -= 1;
			respond(request, response);
		}, 50);
	});
	await gate.run(createAttempt(1)).result;
	await Promise.all(
		Array.from(
			{length: 8},
			async (_, index) => gate.run(createAttempt(index + 2)).result,
		),
	);
	expect(state.most).toEqual(4);
});

test('a first response that comes while the server counts as unreachable leaves it its slots', async context => {
	const state: {isHealthSilent: boolean; respondToFirst?: () => void} = {
		isHealthSilent: false,
	};
	const gate = await startGate(
		context,
		(request, response) => {
			if (request.url !== '/health') {
				const finish = (): void => {
					respond(request, response);
				};

				if (state.respondToFirst) {
					finish();
				}

				state.respondToFirst ??= finish;
				return;
			}

			// The health path says nothing of the server, or does not respond at all.
			if (!state.isHealthSilent) {
				response.end();
			}
		},
		50,
	);
	const question = {...createAttempt(1).call, bodyBytes: 0};
	const first = gate.run(createAttempt(1)).result;
	while (state.respondToFirst === undefined) {
		await sleep(5);
	}

	state.isHealthSilent = true;
	while (gate.state().accepting) {
		await sleep(20);
		await gate.report(question);
	}

	state.respondToFirst();
	const answered = await first;
	expect(answered.kind).toEqual(attemptResultKinds.answered);
	state.isHealthSilent = false;
	while (!gate.state().accepting) {
		await sleep(20);
	}

	const later = await gate.run(createAttempt(2)).result;
	expect(later.kind).toEqual(attemptResultKinds.answered);
});

test('a waiting attempt keeps its place when its ingress only asks whether it arrived', async context => {
	const gate = await startGate(context, (request, response) => {
		setTimeout(() => {
			respond(request, response);
		}, 50);
	});
	const running = Array.from({length: 12}, (_, index) =>
		gate.run(createAttempt(index + 1)),
	);
	const last = createAttempt(12).id;
	expect(gate.cancelAttempt(last, true)).toEqual(false);
	const settled = await running.at(-1)!.result;
	expect(settled.kind).toEqual(attemptResultKinds.answered);
});

test('an evacuated gate ends what runs, refuses what waits as not run, and takes requests when it is taken back', async context => {
	const state = {isEvacuated: false, received: 0};
	const slots: number[] = [];
	const responses: Array<() => void> = [];
	const gate = await startGate(
		context,
		(request, response) => {
			state.received += 1;
			responses.push(() => {
				respond(request, response);
			});
		},
		0,
		{
			isEvacuated: () => state.isEvacuated,
			onSlotsChanged(changed) {
				slots.push(changed);
			},
		},
	);
	const running = gate.run(createAttempt(1)).result;
	const waiting = gate.run(createAttempt(2)).result;
	while (state.received === 0) {
		await sleep(5);
	}

	state.isEvacuated = true;
	gate.applyEvacuation();
	const later = gate.run(createAttempt(3)).result;
	for (const settled of [await waiting, await later]) {
		expect(settled).toLooseEqual({
			kind: attemptResultKinds.refused,
			outcome: outcomes.notRun,
			load: undefined,
			refusal: settled.kind === attemptResultKinds.refused ? settled.refusal : undefined,
		});
	}

	responses[0]!();
	const finished = await running;
	expect([finished.kind, state.received]).toEqual([attemptResultKinds.answered, 1]);
	state.isEvacuated = false;
	gate.applyEvacuation();
	expect(slots).toEqual([4, 0, 4]);
	const resumed = gate.run(createAttempt(4)).result;
	while (state.received === 1) {
		await sleep(5);
	}

	responses[1]!();
	const answered = await resumed;
	expect(answered.kind).toEqual(attemptResultKinds.answered);
});

test('an attempt that may not run in the region of the gate does not reach the server', async context => {
	let received = 0;
	const gate = await startGate(
		context,
		(request, response) => {
			received += 1;
			respond(request, response);
		},
		0,
		{mayRunHere: ({homes}) => homes === undefined},
	);
	const attempt = createAttempt(1);
	const away = {...attempt, call: {...attempt.call, homes: ['plain']}};
	const settled = await gate.run(away).result;
	expect([settled.kind, received]).toEqual([attemptResultKinds.refused, 0]);
	const home = await gate.run(createAttempt(2)).result;
	expect(home.kind).toEqual(attemptResultKinds.answered);
});

let retriesSent = 0;

/** Sends retries at the same time and counts those that the retry budget admits. */
async function countAdmittedRetries(gate: RelayGate, count: number): Promise<number> {
	const results = await Promise.all(
		Array.from({length: count}, async () => {
			retriesSent += 1;
			return gate.run({...createAttempt(5000 + retriesSent), isRetry: true}).result;
		}),
	);
	return results.filter(
		result =>
			result.kind !== attemptResultKinds.refused ||
			!result.refusal.message.includes('retry budget'),
	).length;
}

const shortWindowMilliseconds = 400;

test('requests that a gate refuses for its load allow no retries there', async context => {
	const held: ServerResponse[] = [];
	const gate = await startGate(
		context,
		(_request, response) => {
			held.push(response);
		},
		0,
		{retryPolicy: {ratio: 0.2, slack: 0, windowMilliseconds: 10_000}},
	);
	const results = await Promise.all(
		Array.from({length: 100}, async (_, index) => {
			const attempt = createAttempt(index);
			const {call} = attempt;
			return gate.run({...attempt, call: {...call, deadlineAt: call.arrivedAt + 150}})
				.result;
		}),
	);
	const refused = results.filter(
		result =>
			result.kind === attemptResultKinds.refused && result.outcome === outcomes.notRun,
	);
	expect(refused.length).toBeGreaterThan(90);
	expect(await countAdmittedRetries(gate, 10)).toEqual(0);
});

test('a gate that has just started does not spend the slack that it may have spent before', async context => {
	const gate = await startGate(context, respond, 0, {
		retryPolicy: {ratio: 0.2, slack: 10, windowMilliseconds: shortWindowMilliseconds},
	});
	expect(await countAdmittedRetries(gate, 10)).toBeLessThanOrEqual(1);
	await sleep(shortWindowMilliseconds);
	expect(await countAdmittedRetries(gate, 10)).toEqual(6);
});

test('a gate that is cut off from others does not take their part of the slack', async context => {
	let gates = 6;
	const gate = await startGate(context, respond, 0, {
		retryPolicy: {ratio: 0.2, slack: 60, windowMilliseconds: shortWindowMilliseconds},
		countGates: () => gates,
	});
	await sleep(shortWindowMilliseconds);
	const before = await countAdmittedRetries(gate, 40);
	gates = 1;
	await sleep(shortWindowMilliseconds);
	expect([before, await countAdmittedRetries(gate, 40)]).toEqual([6, 6]);
});
