/** Suspects and proven requests: what is kept, cleared, merged and forgotten. */
import {test} from 'node:test';
import {expect} from 'earl';
import {assert as assertProperty, array, constantFrom, property, tuple} from 'fast-check';
import {
	clearSuspect,
	createQuarantine,
	digestRequest,
	findQuarantineStatus,
	recordQuarantineStatus,
	quarantineStatuses,
	type QuarantineStatus,
} from '../../src/quarantine/index.js';

const seed = 20_261_204;
const limits = {entries: 3, suspectMilliseconds: 100, provenMilliseconds: 1000};
const {suspect, proven} = quarantineStatuses;

test('two such requests at once are both kept, and a good run clears a suspect only', () => {
	const quarantine = createQuarantine(limits);
	recordQuarantineStatus(quarantine, 'one', suspect, 0);
	recordQuarantineStatus(quarantine, 'two', proven, 0);
	clearSuspect(quarantine, 'one');
	clearSuspect(quarantine, 'two');
	expect(findQuarantineStatus(quarantine, 'one', 1)).toEqual(undefined);
	expect(findQuarantineStatus(quarantine, 'two', 1)).toEqual(proven);
});

test('entries expire by their verdict', () => {
	const quarantine = createQuarantine(limits);
	recordQuarantineStatus(quarantine, 'one', suspect, 0);
	recordQuarantineStatus(quarantine, 'two', proven, 0);
	expect([99, 100].map(now => findQuarantineStatus(quarantine, 'one', now))).toEqual([
		suspect,
		undefined,
	]);
	expect([999, 1000].map(now => findQuarantineStatus(quarantine, 'two', now))).toEqual([
		proven,
		undefined,
	]);
});

test('when there is no room, the oldest suspect gives way before a proven request', () => {
	const quarantine = createQuarantine(limits);
	recordQuarantineStatus(quarantine, 'first', proven, 0);
	recordQuarantineStatus(quarantine, 'second', suspect, 0);
	recordQuarantineStatus(quarantine, 'third', suspect, 0);
	recordQuarantineStatus(quarantine, 'fourth', suspect, 0);
	expect([...quarantine.entries.keys()]).toEqual(['first', 'third', 'fourth']);
});

test('only news is worth telling', () => {
	const quarantine = createQuarantine(limits);
	const news = [suspect, suspect, proven, proven, suspect].map(verdict =>
		recordQuarantineStatus(quarantine, 'one', verdict, 0),
	);
	expect(news).toEqual([true, false, true, false, false]);
});

test('verdicts merge to the same state in any order and however often they are told', () => {
	const news = array(
		tuple(
			constantFrom('one', 'two', 'three'),
			constantFrom<QuarantineStatus>(suspect, proven),
		),
		{maxLength: 8},
	);
	const merge = (told: ReadonlyArray<readonly [string, QuarantineStatus]>): string[] => {
		const quarantine = createQuarantine(limits);
		for (const [digest, verdict] of told) {
			recordQuarantineStatus(quarantine, digest, verdict, 0);
		}

		return [...quarantine.entries]
			.map(([digest, {status: verdict}]) => `${digest} ${verdict}`)
			.toSorted((one, other) => one.localeCompare(other));
	};

	console.log(`seed ${seed}`);
	assertProperty(
		property(news, told => {
			expect(merge([...told].toReversed())).toEqual(merge(told));
			expect(merge([...told, ...told])).toEqual(merge(told));
		}),
		{seed},
	);
});

test('a request has one digest by caller, service, method, path and body', () => {
	const parts = {
		caller: 'studio',
		service: 'proofs',
		method: 'PUT',
		path: '/1',
		body: undefined,
	};
	const others = [
		{...parts, caller: 'student'},
		{...parts, service: 'booking'},
		{...parts, method: 'GET'},
		{...parts, path: '/2'},
		{...parts, body: new Uint8Array([1])},
	];
	const digests = new Set(
		[parts, {...parts}, ...others].map(part => digestRequest(part)),
	);
	expect(digests.size).toEqual(1 + others.length);
});
