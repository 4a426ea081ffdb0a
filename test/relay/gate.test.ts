/** The gate while the limit on health probes allows none. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {platformProtocol} from '../../platform/protocol.js';
import {serverStates} from '../../src/announcement/index.js';
import {attemptResultKinds} from '../../src/call/index.js';
import {createInboundLink} from '../../src/waiting/index.js';
import {createRelayGate} from '../../src/relay/gate.js';

test('consecutive requests are served while no health probe is allowed', async () => {
	const server = createServer((request, response) => {
		response.writeHead(200, {
			'x-request-id': request.headers['x-request-id'],
			'x-response-seal': 'seal',
			'content-length': '0',
		});
		response.end();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const silent = (): void => undefined;
	const gate = createRelayGate({
		protocol: platformProtocol,
		log: {info: silent, warn: silent, error: silent},
		now: () => performance.now(),
		random: () => 0.5,
		server: {host: '127.0.0.1', port, service: 'bookings'},
		inboundLink: createInboundLink(1000),
		maximumConnections: 10,
		healthPath: () => '/health',
		probesPerSecond: 0,
		retryPolicy: {ratio: 0.2, slack: 10, windowMilliseconds: 10_000},
		countGates: () => 1,
		onSlotsChanged: silent,
		onAttemptEnd: silent,
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
	const kinds: string[] = [];
	for (let sequence = 1; sequence <= 3; sequence += 1) {
		const at = performance.now();
		const {result} = gate.run({
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
				targetMilliseconds: 400,
				arrivedAt: at,
				targetAt: at + 400,
				deadlineAt: at + 2000,
				maximumAttempts: 2,
			},
		});
		const settled = await result;
		kinds.push(settled.kind);
		// By the next request the last speed report is stale.
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}

	gate.close();
	server.close();
	server.closeAllConnections();
	expect(kinds).toEqual([1, 2, 3].map(() => attemptResultKinds.answered));
});
