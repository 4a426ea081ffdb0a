/** The client of the platform's store against the stand-in, over a restore. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {createStoreClient} from '../../platform/store.js';
import {routeSourceErrors} from '../../src/relay/index.js';
import {createStandInStore} from '../../stand-ins/platform/store.js';

const waitMilliseconds = 50;

async function startStore(context: TestContext) {
	const store = createStandInStore();
	await new Promise<void>(resolve => {
		store.server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = store.server.address() as AddressInfo;
	const client = createStoreClient(`127.0.0.1:${port}`);
	context.after(() => {
		client.table.close();
		store.server.close();
		store.server.closeAllConnections();
	});
	return {store, ...client};
}

test('a position of an earlier era has no history, also when its version is in use again', async context => {
	const {store, routeSource} = await startStore(context);
	store.putConfiguration({version: 'r1'});
	const copy = store.takeCopy();
	store.putConfiguration({version: 'r2'});
	const reading = await routeSource.read();
	const {position} = reading._unsafeUnwrap();
	store.restore(copy);
	// The restore closes the connections; the client notices that first.
	await sleep(waitMilliseconds);
	const before = await routeSource.awaitChange(position, waitMilliseconds);
	expect(before._unsafeUnwrapErr().kind).toEqual(routeSourceErrors.historyGone);
	store.putConfiguration({version: 'r3'});
	expect(store.version()).toEqual(position.version);
	const after = await routeSource.awaitChange(position, waitMilliseconds);
	expect(after._unsafeUnwrapErr().kind).toEqual(routeSourceErrors.historyGone);
	const again = await routeSource.read();
	const {storeTime, ...reread} = again._unsafeUnwrap();
	expect(typeof storeTime).toEqual('number');
	expect(reread).toEqual({
		text: JSON.stringify({version: 'r3'}),
		position: {era: position.era + 1, version: position.version},
		evacuations: [],
		isComplete: true,
	});
});

test('a question for a proof tells of evacuations too, with and without a position', async context => {
	const {store, proofSource} = await startStore(context);
	store.putConfiguration({version: 'r1'});
	store.putEvacuation('coast-1');
	const whole = await proofSource.check(undefined);
	const first = whole._unsafeUnwrap();
	expect(first.evacuations.map(({domain}) => domain)).toEqual(['coast-1']);
	expect(first.isComplete).toEqual(true);
	store.removeEvacuation('coast-1');
	const change = await proofSource.check(first.position);
	const next = change._unsafeUnwrap();
	expect(next.evacuations.map(({isEvacuated}) => isEvacuated)).toEqual([false]);
	expect(next.isComplete).toEqual(false);
});

test('evacuations are read in full, and followed until they are taken back', async context => {
	const {store, routeSource} = await startStore(context);
	store.putConfiguration({version: 'r1'});
	store.putEvacuation('coast-1');
	const read = await routeSource.read();
	const {position, storeTime, ...full} = read._unsafeUnwrap();
	expect(typeof storeTime).toEqual('number');
	expect(full).toEqual({
		text: JSON.stringify({version: 'r1'}),
		evacuations: [{domain: 'coast-1', isEvacuated: true, rowVersion: position.version}],
		isComplete: true,
	});
	store.removeEvacuation('coast-1');
	const change = await routeSource.awaitChange(position, waitMilliseconds);
	const {storeTime: laterTime, ...changed} = change._unsafeUnwrap();
	expect(laterTime!).toBeGreaterThanOrEqual(storeTime!);
	expect(changed).toEqual({
		text: undefined,
		position: {era: position.era, version: position.version + 1},
		evacuations: [
			{domain: 'coast-1', isEvacuated: false, rowVersion: position.version + 1},
		],
		isComplete: false,
	});
	const again = await routeSource.read();
	expect(again._unsafeUnwrap().evacuations).toEqual([]);
});

test('a table that is longer than a page is read to its end', async context => {
	const {store, routeSource} = await startStore(context);
	store.setPageLength(1);
	store.putConfiguration({version: 'r1'});
	store.putEvacuation('coast-1');
	store.putEvacuation('coast-2');
	const reading = await routeSource.read();
	expect(reading._unsafeUnwrap().evacuations.map(({domain}) => domain)).toEqual([
		'coast-1',
		'coast-2',
	]);
});

test('a row that cannot be read hides none of the others', async context => {
	const rows = [
		{key: 4, ver: 2},
		'odd',
		{key: 'members/coast-1/0', value: 'bm9kZQ==', ver: 3},
		{key: 'members/coast-1/1', value: ['['], ver: 1e300},
		{key: 'members/coast-1/2', value: 'bm9kZQ==', ver: null},
	];
	const server = createServer((_request, response) => {
		response.end(JSON.stringify({rows, ver: 9}));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const {table} = createStoreClient(`127.0.0.1:${port}`);
	context.after(() => {
		table.close();
		server.close();
		server.closeAllConnections();
	});
	const page = await table.list({prefix: 'members/'});
	expect(page._unsafeUnwrap().rows.map(({value}) => value)).toEqual(['node']);
});
