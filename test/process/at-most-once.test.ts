/** A keyed call runs at most once, and each sending gets the true outcome, with real processes. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {appendKeyNumber} from '../../src/binding/index.js';
import {sendCall} from '../support/http.js';
import {
	book,
	countRuns,
	startKeyedMesh,
	requestKey,
	bookForOutcome,
} from '../support/keys.js';
import {readJournal} from '../support/mesh.js';
import {startProcess} from '../support/processes.js';

const outage = {outage: 'refuses'};

test('a non-idempotent call without a key is refused as not run', async context => {
	const {nodes} = await startKeyedMesh(context);
	const answer = await sendCall({
		port: nodes[0].dataPort,
		service: 'booking',
		method: 'POST',
		path: '/bookings',
		body: 'bay 1',
	});
	expect([answer.status, answer.outcome]).toEqual([428, 'not-run']);
	const journals = await Promise.all(nodes.map(readJournal));
	expect(journals.flat().filter(entry => entry.path === '/bookings')).toEqual([]);
});

test('a key sent through both nodes concurrently, and again afterwards, runs once', async context => {
	const {nodes} = await startKeyedMesh(context, {serviceTimeMilliseconds: 100});
	for (const key of [randomUUID(), await requestKey(nodes[0])]) {
		const answers = await Promise.all(
			[0, 1, 0, 1].map(async index => book(nodes[index]!, key)),
		);
		answers.push(await book(nodes[1], key));
		expect(answers.map(answer => answer.outcome)).toEqual(
			Array.from({length: 5}, () => 'ran'),
		);
		const bodies = new Set(answers.map(answer => String(answer.body)));
		expect(bodies.size).toEqual(1);
		expect(await countRuns(nodes, key)).toEqual(1);
	}
});

test('each number of a key block is a separate key', async context => {
	const {nodes} = await startKeyedMesh(context);
	const prefix = await requestKey(nodes[0], true);
	for (const number of [1, 2, 1]) {
		const answer = await book(nodes[1], appendKeyNumber(prefix, number));
		expect(answer.outcome).toEqual('ran');
	}

	expect(await countRuns(nodes, appendKeyNumber(prefix, 1))).toEqual(1);
	expect(await countRuns(nodes, appendKeyNumber(prefix, 2))).toEqual(1);
});

test('a key that is forged, truncated, of another service or of another request is refused as not run', async context => {
	const {nodes} = await startKeyedMesh(context);
	const key = await requestKey(nodes[0]);
	const [prefix, body] = key.split('.');
	const forged = `${prefix}.${body}.${'A'.repeat(22)}`;
	const refused = [
		await book(nodes[0], forged),
		await book(nodes[1], `${prefix}.${body}`),
		await book(nodes[1], key, {service: 'ledger'}),
	];
	expect(refused.map(answer => [answer.status, answer.outcome])).toEqual(
		Array.from({length: 3}, () => [400, 'not-run']),
	);
	expect(await bookForOutcome(nodes[0], key)).toEqual('ran');
	const other = await book(nodes[1], key, {body: 'bay 2'});
	expect([other.status, other.outcome]).toEqual([422, 'not-run']);
	expect(await countRuns(nodes, key)).toEqual(1);
});

test('while the table is down issued keys work, and own keys are refused with a hint to use issued keys', async context => {
	const {nodes, setTableFaults} = await startKeyedMesh(context);
	const known = randomUUID();
	await book(nodes[0], known);
	await setTableFaults(outage);
	const key = await requestKey(nodes[0]);
	expect(await bookForOutcome(nodes[1], key)).toEqual('ran');
	const first = await book(nodes[1], randomUUID(), {sending: 1});
	expect([first.status, first.outcome]).toEqual([503, 'not-run']);
	expect(String(first.body)).toInclude('use issued keys');
	// The other node cannot know whether an earlier sending ran, so it must not report `not-run`.
	expect(await bookForOutcome(nodes[1], known)).toEqual('unknown');
	await setTableFaults({});
	expect(await bookForOutcome(nodes[1], known)).toEqual('ran');
	expect(await countRuns(nodes, known)).toEqual(1);
});

test('a claim that was written but whose response was lost is resolved by reading it back', async context => {
	const {nodes, setTableFaults} = await startKeyedMesh(context);
	await setTableFaults({
		answersLost: {count: 1},
		methods: ['PUT'],
		keyPrefix: 'binding/',
	});
	const key = randomUUID();
	expect(await bookForOutcome(nodes[0], key)).toEqual('ran');
	expect(await bookForOutcome(nodes[1], key)).toEqual('ran');
	expect(await countRuns(nodes, key)).toEqual(1);
});

test('a frozen home node runs a key at most once after it resumes, whatever was sent meanwhile', async context => {
	const {nodes} = await startKeyedMesh(context);
	const [home, other] = nodes;
	const issued = await requestKey(home);
	const own = randomUUID();
	await book(home, own);
	home.process.signal('SIGSTOP');
	const frozen = await Promise.all([
		book(other, issued),
		book(other, issued),
		book(other, own),
	]);
	home.process.signal('SIGCONT');
	expect(frozen.map(answer => answer.outcome)).toEqual(['unknown', 'unknown', 'unknown']);
	await sleep(300);
	const after = await book(other, issued);
	expect(['ran', 'unknown']).toInclude(after.outcome);
	expect(await bookForOutcome(other, own)).toEqual('ran');
	expect(await countRuns(nodes, own)).toEqual(1);
	expect((await countRuns(nodes, issued)) <= 1).toEqual(true);
});

test('the keys of a killed home node have an unknown outcome and never run again', async context => {
	const {nodes} = await startKeyedMesh(context);
	const [home, other] = nodes;
	const issued = await requestKey(home);
	const own = randomUUID();
	await book(home, issued);
	await book(home, own);
	home.process.signal('SIGKILL');
	await home.process.ended;
	expect(await bookForOutcome(other, issued)).toEqual('unknown');
	expect(await bookForOutcome(other, own)).toEqual('unknown');
	await startProcess(context, 'foxtailtide', ['node', '--settings', home.settingsFile]);
	expect(await bookForOutcome(other, issued)).toEqual('unknown');
	expect(await bookForOutcome(home, own)).toEqual('unknown');
	expect(await countRuns(nodes, issued)).toEqual(1);
	expect(await countRuns(nodes, own)).toEqual(1);
});

test('after a planned stop a key that ran is reported as ran, and one that did not runs elsewhere, once', async context => {
	const {nodes} = await startKeyedMesh(context);
	const [home, other] = nodes;
	const ran = await requestKey(home);
	const fresh = await requestKey(home);
	const own = randomUUID();
	await book(other, ran);
	await book(home, own);
	home.process.signal('SIGTERM');
	expect(await home.process.ended).toEqual(0);
	const answer = await book(other, ran);
	expect([answer.status, answer.outcome]).toEqual([409, 'ran']);
	expect(await bookForOutcome(other, own)).toEqual('ran');
	expect(await bookForOutcome(other, fresh)).toEqual('ran');
	expect(await bookForOutcome(other, fresh)).toEqual('ran');
	for (const key of [ran, own, fresh]) {
		expect(await countRuns(nodes, key)).toEqual(1);
	}
});
