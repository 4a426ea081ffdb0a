/** The steps of a graceful shutdown. */
import {test} from 'node:test';
import {expect} from 'earl';
import {decideStopStep, type StopProgress} from '../../src/relay/stop.js';

const progress: StopProgress = {
	elapsedMilliseconds: 3000,
	graceMilliseconds: 6000,
	inFlight: 0,
	idleMilliseconds: 500,
	isClosed: false,
};

const cases: ReadonlyArray<readonly [string, Partial<StopProgress>, string]> = [
	[
		'the node first reports not ready while its gate still accepts requests',
		{elapsedMilliseconds: 100},
		'notice',
	],
	['then the gate accepts no new requests', {elapsedMilliseconds: 1500}, 'drain'],
	// A call accepted between the last look at what is in flight and the end was cut.
	['it refuses all calls when nothing is in flight and no calls come', {}, 'close'],
	['it ends when nothing was accepted meanwhile', {isClosed: true}, 'end'],
	['calls that it refuses do not keep it', {isClosed: true, idleMilliseconds: 0}, 'end'],
	['it finishes a call accepted meanwhile', {isClosed: true, inFlight: 1}, 'close'],
	['it waits for requests in flight', {inFlight: 1}, 'drain'],
	['it waits while calls still come', {idleMilliseconds: 10}, 'drain'],
	[
		'it ends before the grace period does',
		{elapsedMilliseconds: 5600, inFlight: 3},
		'end',
	],
	[
		'it keeps to a short grace period',
		{elapsedMilliseconds: 2600, graceMilliseconds: 3000, inFlight: 3},
		'end',
	],
	[
		'it leaves calls in flight most of a short grace period',
		{elapsedMilliseconds: 2400, graceMilliseconds: 3000, inFlight: 3},
		'drain',
	],
	[
		'it leaves a second for closing on a VM with a fraction of a core',
		{elapsedMilliseconds: 5000, inFlight: 3},
		'end',
	],
];
for (const [name, patch, step] of cases) {
	test(name, () => {
		expect<string>(decideStopStep({...progress, ...patch})).toEqual(step);
	});
}
