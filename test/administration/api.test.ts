/** Tests the administration API: access control, each route, and the kinds of errors. */
import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {test} from 'node:test';
import {expect} from 'earl';
import {Effect, Exit, Scope} from 'effect';
import {ok} from 'neverthrow';
import {
	createAdministrationServer,
	createMetrics,
	type AdministrationOptions,
} from '../../src/administration/index.js';
import {createConfiguration} from '../../src/configuration/index.js';
import type {Member} from '../../src/membership/index.js';
import {createDocumentText} from '../support/configuration.js';
import {withTable} from '../support/table.js';

const text = createDocumentText('darkrooms');
const self: Member = {
	nodeId: 'node-0',
	incarnation: 1,
	status: 'alive',
	host: '127.0.0.1',
	peerPort: 1,
	controlPort: 1,
	region: 'coast',
	failureDomain: 'coast-a',
	slots: 0,
	revision: 0,
};

/** Messages that the tasks logged or published. */
const messages: string[] = [];
const recordMessage = (message: string): void => {
	messages.push(message);
};

const log = {info: recordMessage, warn: recordMessage};

type ApiResponse = {
	readonly status: number;
	readonly text: string;
	/** Returns the value at a path of keys in the JSON body. */
	readonly at: (...keys: readonly string[]) => unknown;
};

type SendRequest = (
	method: string,
	path: string,
	given?: {token?: string; headers?: Record<string, string>; body?: string},
) => Promise<ApiResponse>;

/** Runs the API with a real configuration task and the table stand-in, for a fleet of one node. */
async function withApi(
	use: (
		sendRequest: SendRequest,
		wasDrained: () => boolean,
		setFaults: (faults: unknown) => Promise<void>,
	) => Promise<void>,
): Promise<void> {
	await withTable(async (table, setFaults) => {
		const scope = Effect.runSync(Scope.make());
		const configuration = await Effect.runPromise(
			createConfiguration({
				self: () => self,
				members: () => [self],
				findMember: () => self,
				table,
				peers: {compare: async () => undefined, fetch: async () => undefined},
				publishVersion: recordMessage,
				onVersion(listener) {
					messages.push(typeof listener);
				},
				now: () => performance.now(),
				wallClock: () => Date.now(),
				random: () => 0.5,
				log,
			}).pipe(Scope.extend(scope)),
		);
		let isDrained = false;
		const metrics = createMetrics();
		metrics.addCounters('configuration', () => ({storeLists: 3}));
		const options: AdministrationOptions = {
			tokens: [
				{team: 'darkrooms', role: 'read', sha256: digest('reader')},
				{team: 'darkrooms', role: 'operate', sha256: digest('operator')},
				{team: '*', role: 'operate', sha256: digest('platform')},
			],
			configuration,
			members: () => [self],
			dumpState: () => ({configuration: configuration.dump()}),
			drain() {
				isDrained = true;
			},
			issueKeys: (service, count) =>
				ok(Array.from({length: count}, (_, index) => `${service}-${index}`)),
			readMetrics: metrics.read,
			findUnreadinessReason: () => configuration.findUnreadiness(),
			createId: randomUUID,
			log,
		};
		const server = createAdministrationServer(options).listen(0, '127.0.0.1');
		await once(server, 'listening');
		try {
			await use(createSendRequest(server.address()), () => isDrained, setFaults);
		} finally {
			server.closeAllConnections();
			server.close();
			await Effect.runPromise(Scope.close(scope, Exit.void));
		}
	});
}

function digest(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}

function createSendRequest(address: unknown): SendRequest {
	const {port} = address as {port: number};
	return async (method, path, {token, headers, body} = {}) => {
		const response = await fetch(`http://127.0.0.1:${port}${path}`, {
			method,
			headers: {...(token && {authorization: `Bearer ${token}`}), ...headers},
			body,
		});
		const responseBody = await response.text();
		return {
			status: response.status,
			text: responseBody,
			at: (...keys) => readAt(responseBody, keys),
		};
	};
}

function readAt(json: string, keys: readonly string[]): unknown {
	let value: unknown = JSON.parse(json);
	for (const key of keys) {
		value =
			typeof value === 'object' && value !== null ? Reflect.get(value, key) : undefined;
	}

	return value;
}

async function waitUntilReady(sendRequest: SendRequest): Promise<void> {
	for (let tries = 0; tries < 100; tries += 1) {
		const {status} = await sendRequest('GET', '/readyz');
		if (status === 200) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}

	throw new Error('not ready in time');
}

async function apply(sendRequest: SendRequest, headers: Record<string, string> = {}) {
	return sendRequest('PUT', '/v1/configuration', {
		token: 'operator',
		headers,
		body: text,
	});
}

test('changes of document and preset are applied and appear in the history', async () => {
	await withApi(async sendRequest => {
		const unready = await sendRequest('GET', '/readyz');
		expect(unready.status).toEqual(503);
		const applied = await apply(sendRequest, {'foxtailtide-change-id': 'first'});
		expect([applied.status, applied.at('version')]).toEqual([200, 1]);
		await waitUntilReady(sendRequest);

		const switched = await sendRequest('POST', '/v1/presets/peak/switch', {
			token: 'operator',
			headers: {
				'foxtailtide-change-id': 'second',
				'foxtailtide-operator': 'ada',
				'foxtailtide-expected-version': '1',
			},
		});
		expect([switched.status, switched.at('inForce')]).toEqual([200, 'peak']);
		const repeated = await apply(sendRequest, {'foxtailtide-change-id': 'first'});
		expect(repeated.at('version')).toEqual(1);

		const presets = await sendRequest('GET', '/v1/presets', {token: 'reader'});
		expect([presets.at('inForce'), presets.at('version')]).toEqual(['peak', 2]);
		const shown = await sendRequest('GET', '/v1/presets/peak', {token: 'reader'});
		expect(shown.at('preset', 'services', 'booking', 'deadlineMilliseconds')).toEqual(
			400,
		);
		const configuration = await sendRequest('GET', '/v1/configuration', {
			token: 'reader',
		});
		expect(configuration.text.includes('inForce: peak')).toEqual(true);
		const history = await sendRequest('GET', '/v1/configuration/history', {
			token: 'reader',
		});
		expect(history.at('changes', '0', 'changeId')).toEqual('second');
		expect(history.at('changes', '0', 'by')).toEqual('ada');
		expect(history.at('changes', '1', 'changeId')).toEqual('first');
		expect(history.at('changes', '2')).toEqual(undefined);
		const state = await sendRequest('GET', '/v1/state', {token: 'reader'});
		expect(state.at('configuration', 'documents', '0', 'version')).toEqual(2);
	});
});

test('the status lists nodes that did not respond', async () => {
	await withApi(async sendRequest => {
		await apply(sendRequest);
		const status = await sendRequest('GET', '/v1/configuration/status', {
			token: 'reader',
		});
		expect(status.at('storedVersion')).toEqual(1);
		expect(status.at('newestVersion')).toEqual(1);
		expect(status.at('isEverywhere')).toEqual(false);
		expect(status.at('unanswered', '0', 'nodeId')).toEqual('node-0');
	});
});

test('the node serves health, members, metrics, keys and drain', async () => {
	await withApi(async (sendRequest, wasDrained) => {
		const health = await sendRequest('GET', '/healthz');
		expect(health.status).toEqual(200);
		const members = await sendRequest('GET', '/v1/members', {token: 'reader'});
		expect(members.at('members', '0', 'nodeId')).toEqual('node-0');
		const metrics = await sendRequest('GET', '/metrics', {token: 'reader'});
		expect(
			metrics.text.includes('foxtailtide_configuration_store_lists_total 3'),
		).toEqual(true);
		const body = JSON.stringify({service: 'booking', count: 2});
		const keys = await sendRequest('POST', '/v1/keys', {token: 'operator', body});
		expect(keys.at('keys')).toEqual(['booking-0', 'booking-1']);
		const drain = await sendRequest('POST', '/v1/drain', {token: 'operator'});
		expect([drain.status, wasDrained()]).toEqual([202, true]);
	});
});

const putConfiguration = {
	method: 'PUT',
	path: '/v1/configuration',
	token: 'operator',
	body: text,
};
const refusals = [
	{
		name: 'no token',
		request: {...putConfiguration, token: undefined},
		status: 401,
		kind: 'unauthorized',
	},
	{
		name: 'unknown token',
		request: {...putConfiguration, token: 'guess'},
		status: 401,
		kind: 'unauthorized',
	},
	{
		name: 'digest as token',
		request: {...putConfiguration, token: digest('operator')},
		status: 401,
		kind: 'unauthorized',
	},
	{
		name: 'change with the role read',
		request: {...putConfiguration, token: 'reader'},
		status: 403,
		kind: 'forbidden',
	},
	{
		name: 'drain with the role read',
		request: {method: 'POST', path: '/v1/drain', token: 'reader'},
		status: 403,
		kind: 'forbidden',
	},
	{
		name: 'metrics without token',
		request: {method: 'GET', path: '/metrics'},
		status: 401,
		kind: 'unauthorized',
	},
	{
		name: 'token of another team',
		request: {...putConfiguration, path: '/v1/configuration?team=printers'},
		status: 403,
		kind: 'forbidden',
	},
	{
		name: 'token of all teams without a selected team',
		request: {...putConfiguration, token: 'platform'},
		status: 400,
		kind: 'malformed',
	},
	{
		name: 'unknown path',
		request: {method: 'GET', path: '/v2'},
		status: 404,
		kind: 'not-found',
	},
	{
		name: 'wrong method',
		request: {method: 'POST', path: '/v1/state'},
		status: 405,
		kind: 'method-not-allowed',
	},
	{
		name: 'invalid document',
		request: {...putConfiguration, body: `${text}more: 1`},
		status: 422,
		kind: 'invalid-document',
	},
	{
		name: 'body too large',
		request: {...putConfiguration, body: 'x'.repeat(1_100_000)},
		status: 413,
		kind: 'body-too-large',
	},
	{
		name: 'invalid expected version',
		request: {...putConfiguration, headers: {'foxtailtide-expected-version': 'two'}},
		status: 400,
		kind: 'malformed',
	},
	{
		name: 'expected version that is not the newest',
		request: {...putConfiguration, headers: {'foxtailtide-expected-version': '7'}},
		status: 409,
		kind: 'conflict',
	},
	{
		name: 'switch without a document',
		request: {method: 'POST', path: '/v1/presets/peak/switch', token: 'operator'},
		status: 404,
		kind: 'no-configuration',
	},
	{
		name: 'no configuration applied',
		request: {method: 'GET', path: '/v1/presets', token: 'reader'},
		status: 404,
		kind: 'not-found',
	},
	{
		name: 'body that is not valid JSON',
		request: {method: 'POST', path: '/v1/keys', token: 'operator', body: '{'},
		status: 400,
		kind: 'malformed',
	},
	{
		name: 'too many keys',
		request: {
			method: 'POST',
			path: '/v1/keys',
			token: 'operator',
			body: '{"service":"a","count":5000}',
		},
		status: 400,
		kind: 'malformed',
	},
	{
		name: 'malformed URL',
		request: {method: 'GET', path: '//[', token: 'reader'},
		status: 400,
		kind: 'malformed',
	},
] as const;

test('each refusal has a status, a kind and a remedy', async () => {
	await withApi(async sendRequest => {
		for (const refusal of refusals) {
			const {method, path, ...parameters} = refusal.request;
			const response = await sendRequest(method, path, parameters);
			expect({
				name: refusal.name,
				status: response.status,
				kind: response.at('error', 'kind'),
			}).toEqual({
				name: refusal.name,
				status: refusal.status,
				kind: refusal.kind,
			});
			const message = String(response.at('error', 'message'));
			expect(message.includes(';') || message.includes(': ')).toEqual(true);
			expect(Buffer.from(message).includes('operator')).toEqual(false);
		}
	});
});

test('a change is refused as not applied while the table is down', async () => {
	await withApi(async (sendRequest, _wasDrained, setFaults) => {
		await setFaults({outage: 'refuses'});
		const response = await apply(sendRequest);
		expect([response.status, response.at('error', 'kind')]).toEqual([
			503,
			'store-unavailable',
		]);
		expect(response.text.includes('nothing changed')).toEqual(true);
	});
});
