/** The quarantine: adding, clearing, merging, expiry and eviction of entries. */
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

test('two requests can be in quarantine, and a successful run clears only a suspect', () => {
	const quarantine = createQuarantine(limits);
	recordQuarantineStatus(quarantine, 'one', suspect, 0);
	recordQuarantineStatus(quarantine, 'two', proven, 0);
	clearSuspect(quarantine, 'one');
	clearSuspect(quarantine, 'two');
	expect(findQuarantineStatus(quarantine, 'one', 1)).toEqual(undefined);
	expect(findQuarantineStatus(quarantine, 'two', 1)).toEqual(proven);
});

test('suspects and proven requests have different lifetimes', () => {
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

test('at the limit, the oldest suspect is evicted before a proven request', () => {
	const quarantine = createQuarantine(limits);
	recordQuarantineStatus(quarantine, 'first', proven, 0);
	recordQuarantineStatus(quarantine, 'second', suspect, 0);
	recordQuarantineStatus(quarantine, 'third', suspect, 0);
	recordQuarantineStatus(quarantine, 'fourth', suspect, 0);
	expect([...quarantine.entries.keys()]).toEqual(['first', 'third', 'fourth']);
});

test('recording a status reports whether it changed', () => {
	const quarantine = createQuarantine(limits);
	const changes = [suspect, suspect, proven, proven, suspect].map(status =>
		recordQuarantineStatus(quarantine, 'one', status, 0),
	);
	expect(changes).toEqual([true, false, true, false, false]);
});

test('announcements merge to the same state in any order and with duplicates', () => {
	const announcements = array(
		tuple(
			constantFrom('one', 'two', 'three'),
			constantFrom<QuarantineStatus>(suspect, proven),
		),
		{maxLength: 8},
	);
	const merge = (
		announced: ReadonlyArray<readonly [string, QuarantineStatus]>,
	): string[] => {
		const quarantine = createQuarantine(limits);
		for (const [digest, status] of announced) {
			recordQuarantineStatus(quarantine, digest, status, 0);
		}

		return [...quarantine.entries]
			.map(([digest, {status}]) => `${digest} ${status}`)
			.toSorted((one, other) => one.localeCompare(other));
	};

	console.log(`seed ${seed}`);
	assertProperty(
		property(announcements, announced => {
			expect(merge([...announced].toReversed())).toEqual(merge(announced));
			expect(merge([...announced, ...announced])).toEqual(merge(announced));
		}),
		{seed},
	);
});

test('the digest depends on caller, service, method, path and body', () => {
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
