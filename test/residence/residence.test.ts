/** Where a request may run, with and without homes that its ingress stated. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRouteIndex, type RouteTable} from '../../src/routes/index.js';
import {createResidenceCheck} from '../../src/relay/residence-check.js';
import type {RelayCall} from '../../src/relay/call.js';
import {createTeamIndex} from '../../src/teams/index.js';

function createTable(routeHomes: string[], teamHomes: string[]): RouteTable {
	const route = {name: 'search', host: 'bays.example', prefix: '/search/'};
	return {
		version: 1,
		routes: [{...route, homes: routeHomes}],
		teams: [{name: 'harbour', keys: ['key-1'], homes: teamHomes}],
	} as unknown as RouteTable;
}

const searchCall: RelayCall = {
	requestId: 'request',
	route: 'search',
	service: 'bookings',
	method: 'GET',
	path: '/search/1',
	headers: ['Host', 'bays.example'],
	body: new Uint8Array(0),
	originService: 'bookings',
	rank: 1,
	idempotent: true,
	nested: false,
	repeated: false,
	targetMilliseconds: 400,
	arrivedAt: 0,
	targetAt: 400,
	deadlineAt: 1000,
	maximumAttempts: 1,
	team: undefined,
	homes: undefined,
};
const coast = ['coast'];
const plain = ['plain'];
const cases: ReadonlyArray<{
	readonly name: string;
	readonly table?: RouteTable;
	readonly call: Partial<RelayCall>;
	readonly mayRun: boolean;
}> = [
	{name: 'no routes are known yet', call: {homes: undefined}, mayRun: true},
	{name: 'this region is a stated home', call: {homes: coast}, mayRun: true},
	{name: 'another region is the stated home', call: {homes: plain}, mayRun: false},
	{name: 'route and team share no home', call: {homes: []}, mayRun: false},
	{
		name: 'no homes are stated or known',
		table: createTable([], []),
		call: {homes: undefined},
		mayRun: true,
	},
	{
		name: 'none are stated, and the route has this region',
		table: createTable(coast, []),
		call: {homes: undefined},
		mayRun: true,
	},
	{
		name: 'none are stated, and the route has another',
		table: createTable(plain, []),
		call: {homes: undefined},
		mayRun: false,
	},
	{
		name: 'none are stated, and the stated team has another',
		table: createTable([], plain),
		call: {homes: undefined, team: 'harbour'},
		mayRun: false,
	},
	{
		name: 'none are stated, and the key is that of a team with another',
		table: createTable([], plain),
		call: {homes: undefined, headers: ['Host', 'bays.example', 'Api-Key', 'key-1']},
		mayRun: false,
	},
	{
		name: 'none are stated, and route and team have no home in common',
		table: createTable(coast, plain),
		call: {homes: undefined, team: 'harbour'},
		mayRun: false,
	},
];

for (const {name, table, call, mayRun} of cases) {
	test(`${name}: ${mayRun ? 'runs' : 'does not run'} here`, () => {
		const check = createResidenceCheck({
			region: 'coast',
			routes: () =>
				table && {
					table,
					index: createRouteIndex(table),
					teams: createTeamIndex(table),
					text: '',
					activeSince: 0,
				},
			readTeamKey: headers => headers[headers.indexOf('Api-Key') + 1],
		});
		const whole = {...searchCall, ...call};
		expect(check(whole)).toEqual(mayRun);
	});
}
