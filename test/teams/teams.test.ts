import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	combineHomes,
	createTeamIndex,
	identifyCaller,
	isHome,
} from '../../src/teams/index.js';

const unlimited = {
	rank: undefined,
	homes: [],
	requestsPerSecond: Number.POSITIVE_INFINITY,
	burst: 0,
};
const parcels = {...unlimited, name: 'parcels', keys: ['old', 'new']};
const index = createTeamIndex({teams: [parcels]});
const closed = {isPublic: false};

const cases = [
	['a key of a team', index, {route: closed, key: 'new', nested: false}, 'parcels'],
	['another key of it', index, {route: closed, key: 'old', nested: false}, 'parcels'],
	['an unknown key', index, {route: closed, key: 'none', nested: false}, 'unknown'],
	['no key', index, {route: closed, key: undefined, nested: false}, 'unknown'],
	[
		'no key on a public route',
		index,
		{route: {isPublic: true}, key: undefined, nested: false},
		'none',
	],
	['a nested request', index, {route: closed, key: undefined, nested: true}, 'none'],
	[
		'a table without teams',
		createTeamIndex({teams: []}),
		{route: closed, key: 'any', nested: false},
		'none',
	],
] as const;

describe('identification', () => {
	for (const [title, teams, claim, expected] of cases) {
		test(title, () => {
			const found = identifyCaller(teams, claim);
			const name = found.isKnown ? (found.team?.name ?? 'none') : 'unknown';
			expect(name).toEqual(expected);
		});
	}
});

const homes = [
	[[], [], undefined],
	[['west'], [], ['west']],
	[[], ['east'], ['east']],
	[['west', 'east'], ['east', 'south'], ['east']],
	[['west'], ['east'], []],
] as const;

describe('homes', () => {
	for (const [route, team, expected] of homes) {
		test(`route ${route.join('+') || 'any'}, team ${team.join('+') || 'any'}`, () => {
			expect(combineHomes(route, team)).toEqual(expected);
		});
	}

	test('without homes any region may run a request, with empty homes none', () => {
		expect([
			isHome(undefined, 'west'),
			isHome([], 'west'),
			isHome(['west'], 'west'),
		]).toEqual([true, false, true]);
	});
});
