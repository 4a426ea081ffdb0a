/** The adapter translates the platform's documents, headers and statuses. */
import {test} from 'node:test';
import {expect} from 'earl';
import {platformProtocol} from '../../platform/protocol.js';
import {decodeRouteDocument} from '../../platform/route-document.js';
import {createRefusal, outcomes, refusalKinds} from '../../src/call/index.js';
import {createConfiguration} from '../support/relay-mesh.js';

test('a configuration document is decoded into a route table', () => {
	const table = decodeRouteDocument(JSON.stringify(createConfiguration(12)));
	const value = table._unsafeUnwrap();
	expect(value.version).toEqual(12);
	expect(value.routes.map(({name, idempotent}) => [name, idempotent])).toEqual([
		['search', true],
		['book', false],
	]);
	expect(value.limits.idleTimeoutMilliseconds).toEqual(15_000);
});

const invalidDocuments: ReadonlyArray<readonly [string, string]> = [
	['text that is not JSON', '{'],
	['a version that is not a number', JSON.stringify({version: 'latest', hosts: []})],
	[
		'a version beyond what can be counted',
		JSON.stringify({
			...(createConfiguration(1) as Record<string, unknown>),
			version: `r${'9'.repeat(400)}`,
		}),
	],
	[
		'a document that is nested deeply',
		`{"version":"r1","hosts":${'['.repeat(300_000)}${']'.repeat(300_000)}}`,
	],
	['a `hosts` field of another type', JSON.stringify({version: 'r3', hosts: 'none'})],
];
for (const [name, text] of invalidDocuments) {
	test(`${name} is rejected`, () => {
		expect(decodeRouteDocument(text).isErr()).toEqual(true);
	});
}

test('origin, deadline and target server sent by the caller are replaced', () => {
	const received = [
		'X-Caller-Service',
		'forged',
		'X-Request-Deadline',
		'99999',
		'X-Target-Instance',
		'forged',
		'X-Request-Id',
		'one',
	];
	const sent = platformProtocol.buildServerHeaders(received, {
		serverId: 'server-1',
		originService: 'bookings',
		team: undefined,
		remainingMilliseconds: 250,
	});
	expect(sent).toEqual([
		'X-Request-Id',
		'one',
		'X-Request-Deadline',
		'250',
		'X-Caller-Service',
		'bookings',
		'X-Target-Instance',
		'server-1',
	]);
});

test('the slowdown is read from the load header and undefined if missing or invalid', () => {
	const read = (load: string) =>
		platformProtocol.readServerResponse(200, ['X-Instance-Load', load]).slowdown;
	expect(
		['1,0,9,500', '1,0,9,100', '1,0,9', 'unreadable'].map(load => read(load)),
	).toEqual([5, 1, undefined, undefined]);
});

test('a named limit is read as requests a second, and an invalid one says nothing', () => {
	const read = (limit: string) => {
		const headers = ['Server-Limit', limit];
		return [
			platformProtocol.readServerResponse(200, headers).requestsPerSecond,
			platformProtocol.readServerHealth(200, headers).requestsPerSecond,
		];
	};

	expect(['8.1', '0', '-3', '1e9', 'many', ''].map(limit => read(limit))).toEqual([
		[8.1, 8.1],
		[0, 0],
		[undefined, undefined],
		[undefined, undefined],
		[undefined, undefined],
		[undefined, undefined],
	]);
	expect(platformProtocol.readServerResponse(200, []).requestsPerSecond).toEqual(
		Number.POSITIVE_INFINITY,
	);
});

test('a server leaves only if its header says so with the value 1', () => {
	const read = (...headers: string[]) =>
		platformProtocol.readServerHealth(200, headers).isLeaving;
	expect([read('server-leaving', '1'), read('Server-Leaving', '0'), read()]).toEqual([
		true,
		false,
		false,
	]);
});

const statuses: ReadonlyArray<
	readonly [keyof typeof refusalKinds, keyof typeof outcomes, number]
> = [
	['overloaded', 'notRun', 429],
	['noServer', 'notRun', 503],
	['leaving', 'notRun', 503],
	['notReady', 'notRun', 503],
	['deadlineExceeded', 'notRun', 503],
	['unknownService', 'notRun', 404],
	['overloaded', 'unknown', 502],
	['noServer', 'unknown', 502],
	['serverFailed', 'unknown', 502],
	['deadlineExceeded', 'unknown', 504],
];
for (const [kind, outcome, status] of statuses) {
	test(`${kind} with outcome ${outcome} is status ${status}`, () => {
		const refusal = createRefusal(refusalKinds[kind], 'refused');
		expect(platformProtocol.chooseStatus(refusal, outcomes[outcome])).toEqual(status);
	});
}

test('the retry delay is sent in seconds with three decimals', () => {
	const refusal = createRefusal(refusalKinds.overloaded, 'full', 85);
	expect(platformProtocol.buildRefusalHeaders('one', refusal)).toEqual([
		'X-Request-Id',
		'one',
		'Retry-After',
		'0.085',
	]);
});
