/** The server record when announcements are late, repeated, foreign or from an earlier process. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	applyAnnouncement,
	markServerGone,
	markServerLeaving,
	evaluateAnnouncement,
	serverStates,
	type ServerAnnouncement,
	type ServerRecord,
} from '../../src/announcement/index.js';

const expectedServer = {address: '10.1.0.8:8301', service: 'proofs'};
const announcement: ServerAnnouncement = {
	id: 'server-1',
	...expectedServer,
	slots: 9,
	state: serverStates.ready,
	sequence: 4,
	warmupMilliseconds: 0,
	startedAt: 1000,
};
const current: ServerRecord = {...announcement, heardAt: 0};

const cases: ReadonlyArray<
	readonly [string, ServerRecord | undefined, Partial<ServerAnnouncement>, string]
> = [
	['the first announcement is accepted', undefined, {}, 'taken'],
	['a later announcement is accepted', current, {sequence: 5}, 'taken'],
	['a repeated announcement is ignored', current, {}, 'outdated'],
	[
		'an announcement that arrives out of order is ignored',
		current,
		{sequence: 3},
		'outdated',
	],
	[
		'after a restart the sequence starts anew',
		current,
		{startedAt: 2000, sequence: 1},
		'taken',
	],
	[
		'a restart under another id is accepted',
		current,
		{id: 'b', startedAt: 2000, sequence: 0},
		'taken',
	],
	[
		'an announcement of an earlier process is ignored',
		current,
		{id: 'a', startedAt: 500, sequence: 90},
		'outdated',
	],
	[
		'an announcement for another address is foreign',
		current,
		{address: '10.1.0.9:8301', sequence: 9},
		'foreign',
	],
	[
		'an announcement for another service is foreign',
		current,
		{service: 'orders', sequence: 9},
		'foreign',
	],
];
for (const [name, record, patch, verdict] of cases) {
	test(name, () => {
		const result = evaluateAnnouncement(
			record,
			{...announcement, ...patch},
			expectedServer,
		);
		expect<string>(result).toEqual(verdict);
	});
}

test('a deregistration applies only to the server with its id', () => {
	expect(markServerGone(current, {id: 'server-1', startedAt: undefined})?.state).toEqual(
		serverStates.gone,
	);
	expect(markServerGone(current, {id: 'server-0', startedAt: undefined})).toEqual(
		undefined,
	);
});

const {ready, draining, gone} = serverStates;
const transitions: ReadonlyArray<
	readonly [string, ServerRecord, Partial<ServerAnnouncement>, string]
> = [
	['a ready server can start to drain', current, {state: draining}, draining],
	[
		'a delayed announcement does not make a draining server ready',
		{...current, state: draining},
		{state: ready},
		draining,
	],
	[
		'a delayed announcement does not bring back a server that has deregistered',
		{...current, state: gone},
		{state: ready},
		gone,
	],
	[
		'a server that starts again after it left is ready',
		{...current, state: gone},
		{state: ready, startedAt: 2000},
		ready,
	],
];
for (const [name, record, patch, state] of transitions) {
	test(name, () => {
		const next = applyAnnouncement(record, {...announcement, sequence: 9, ...patch}, 5);
		expect<string>(next.state).toEqual(state);
		expect(next.heardAt).toEqual(5);
	});
}

test('a server that states that it leaves drains, unless it is gone already', () => {
	expect(markServerLeaving(current).state).toEqual(draining);
	expect(markServerLeaving({...current, state: gone}).state).toEqual(gone);
});
