/** Routes: the lookup by host and path, and the distribution by weight. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	chooseService,
	createRouteIndex,
	createRoundRobinState,
	findRoute,
	type Route,
} from '../../src/routes/index.js';

function createRoute(name: string, prefix: string, patch: Partial<Route> = {}): Route {
	return {
		name,
		host: 'menus.example',
		prefix,
		weightedServices: [{service: 'proofs', weight: 1}],
		idempotent: true,
		timeoutMilliseconds: 1000,
		targetMilliseconds: 400,
		rank: 1,
		maximumAttempts: 2,
		homes: [],
		isPublic: false,
		...patch,
	};
}

const limits = {
	maximumHeaderBytes: 16_384,
	maximumBodyBytes: 1_000_000,
	headerTimeoutMilliseconds: 3000,
	idleTimeoutMilliseconds: 15_000,
};
const index = createRouteIndex({
	version: 3,
	services: [],
	teams: [],
	limits,
	routes: [
		createRoute('menus', '/menus/'),
		createRoute('archive', '/menus/archive/'),
		createRoute('orders', '/', {host: 'orders.example'}),
	],
});

const requests: ReadonlyArray<readonly [string, string, string | undefined]> = [
	['menus.example', '/menus/7', 'menus'],
	['menus.example', '/menus/archive/7', 'archive'],
	['MENUS.example:8080', '/menus/?page=/menus/archive/', 'menus'],
	['menus.example', '/menus', undefined],
	['other.example', '/menus/7', undefined],
	['orders.example', '/anything?x=1', 'orders'],
];
for (const [host, path, name] of requests) {
	test(`${host}${path} matches ${name ?? 'no route'}`, () => {
		expect(findRoute(index, host, path)?.name).toEqual(name);
	});
}

test('every span of 50 requests of a weighted route keeps to the weights within one request', () => {
	const route = createRoute('weighted', '/', {
		weightedServices: [
			{service: 'proofs', weight: 90},
			{service: 'orders', weight: 10},
		],
	});
	const state = createRoundRobinState();
	const chosen = Array.from({length: 200}, () => chooseService(state, route));
	for (let start = 0; start + 50 <= chosen.length; start += 10) {
		const span = chosen.slice(start, start + 50);
		const count = span.filter(service => service === 'orders').length;
		expect(Math.abs(count - 5)).toBeLessThanOrEqual(1);
	}
});

test('a service with weight zero gets no requests', () => {
	const route = createRoute('weighted', '/', {
		weightedServices: [
			{service: 'proofs', weight: 0},
			{service: 'orders', weight: 1},
		],
	});
	const state = createRoundRobinState();
	const chosen = Array.from({length: 20}, () => chooseService(state, route));
	expect(chosen.every(service => service === 'orders')).toEqual(true);
});
