/** The table client against the stand-in of the service, with and without injected faults. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createTableClient} from '../../src/table/index.js';
import {shortTimeoutMilliseconds, withTable} from '../support/table.js';

test('a row is written under its condition, read, listed and removed', async () => {
	await withTable(async table => {
		const first = await table.write('a/x y', 'one', {kind: 'absent'});
		const {version} = first._unsafeUnwrap();
		const read = await table.read('a/x y');
		expect(read._unsafeUnwrap()).toEqual({key: 'a/x y', value: 'one', version});
		const second = await table.write('a/x y', 'two', {kind: 'version', version});
		const loser = await table.write('a/x y', 'three', {kind: 'version', version});
		expect(loser._unsafeUnwrapErr()).toLooseEqual({
			kind: 'conflict',
			message: 'the row has changed; read it and decide again',
			current: second._unsafeUnwrap(),
		});
		const removed = await table.remove('a/x y', second._unsafeUnwrap().version);
		expect(removed.isOk()).toEqual(true);
		const gone = await table.read('a/x y');
		expect(gone._unsafeUnwrap()).toEqual(undefined);
		const again = await table.write('a/x y', 'four', {kind: 'absent'});
		expect(again._unsafeUnwrap().version === version).toEqual(false);
	});
});

test('list returns pages in key order, with or without values', async () => {
	await withTable(async table => {
		for (const key of ['p/c', 'p/a', 'q/z', 'p/b']) {
			await table.write(key, 'value', {kind: 'absent'});
		}

		const firstPage = await table.list({prefix: 'p/', limit: 2});
		const page = firstPage._unsafeUnwrap();
		expect(page.rows.map(row => row.key)).toEqual(['p/a', 'p/b']);
		const rest = await table.list({prefix: 'p/', after: page.next, versionsOnly: true});
		expect(rest._unsafeUnwrap().rows.map(row => [row.key, row.value])).toEqual([
			['p/c', ''],
		]);
		expect(rest._unsafeUnwrap().next).toEqual(undefined);
	});
});

const faultCases = [
	{
		name: 'outage that refuses requests',
		faults: {outage: 'refuses'},
		kind: 'unavailable',
		effect: false,
	},
	{
		name: 'outage that cuts connections',
		faults: {outage: 'cuts'},
		kind: 'timed-out',
		effect: false,
	},
	{
		name: 'outage without a response',
		faults: {outage: 'hangs'},
		kind: 'timed-out',
		effect: false,
	},
	{
		name: 'response slower than the time limit',
		faults: {delayMilliseconds: 300},
		kind: 'timed-out',
		effect: true,
	},
	{
		name: 'request lost before the effect',
		faults: {requestsLost: {count: 1}, methods: ['PUT']},
		kind: 'timed-out',
		effect: false,
	},
	{
		name: 'response lost after the effect',
		faults: {answersLost: {share: 1}, methods: ['PUT']},
		kind: 'timed-out',
		effect: true,
	},
] as const;

for (const {name, faults, kind, effect} of faultCases) {
	test(`a failed write reports what is known of its effect: ${name}`, async () => {
		await withTable(async (table, setFaults) => {
			await setFaults(faults);
			const written = await table.write('k', 'value', {kind: 'absent'});
			expect(written._unsafeUnwrapErr().kind).toEqual(kind);
			await new Promise(resolve => {
				setTimeout(resolve, 2 * shortTimeoutMilliseconds);
			});
			await setFaults({});
			const read = await table.read('k');
			expect(read._unsafeUnwrap() !== undefined).toEqual(effect);
		});
	});
}

test('a write to an address where nothing listens fails as unavailable, without effect', async () => {
	const table = createTableClient({address: 'http://127.0.0.1:1'});
	const written = await table.write('k', 'value', {kind: 'absent'});
	expect(written._unsafeUnwrapErr().kind).toEqual('unavailable');
});
