/** What a node believes of its server when announcements come late, twice, forged or of an earlier life. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	markServerGone,
	evaluateAnnouncement,
	serverStates,
	type ServerAnnouncement,
	type ServerRecord,
} from '../../src/announcement/index.js';

const place = {address: '10.1.0.8:8301', service: 'proofs'};
const announcement: ServerAnnouncement = {
	id: 'server-1',
	...place,
	slots: 9,
	state: serverStates.ready,
	sequence: 4,
	warmupMilliseconds: 0,
	startedAt: 1000,
};
const held: ServerRecord = {...announcement, heardAt: 0};

const cases: ReadonlyArray<
	readonly [string, ServerRecord | undefined, Partial<ServerAnnouncement>, string]
> = [
	['the first word is taken', undefined, {}, 'taken'],
	['a later word is taken', held, {sequence: 5}, 'taken'],
	['the same word again changes nothing', held, {}, 'outdated'],
	['a late word changes nothing', held, {sequence: 3}, 'outdated'],
	['a later life counts anew', held, {startedAt: 2000, sequence: 1}, 'taken'],
	[
		'a later life under another id is taken',
		held,
		{id: 'b', startedAt: 2000, sequence: 0},
		'taken',
	],
	[
		'an earlier life changes nothing',
		held,
		{id: 'a', startedAt: 500, sequence: 90},
		'outdated',
	],
	[
		'another address is another server',
		held,
		{address: '10.1.0.9:8301', sequence: 9},
		'foreign',
	],
	[
		'another service is another server',
		held,
		{service: 'orders', sequence: 9},
		'foreign',
	],
];
for (const [name, before, patch, verdict] of cases) {
	test(name, () => {
		const judged = evaluateAnnouncement(before, {...announcement, ...patch}, place);
		expect<string>(judged).toEqual(verdict);
	});
}

test('a farewell ends the life that it names, and no other', () => {
	expect(markServerGone(held, 'server-1')?.state).toEqual(serverStates.gone);
	expect(markServerGone(held, 'server-0')).toEqual(undefined);
});
