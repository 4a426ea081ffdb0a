/** The steps of a graceful shutdown. */
import {test} from 'node:test';
import {expect} from 'earl';
import {decideStopStep, type StopProgress} from '../../src/relay/stop.js';

const progress: StopProgress = {
	elapsedMilliseconds: 3000,
	graceMilliseconds: 6000,
	inFlight: 0,
	idleMilliseconds: 500,
};

const cases: ReadonlyArray<readonly [string, Partial<StopProgress>, string]> = [
	[
		'the node first reports not ready while its gate still accepts requests',
		{elapsedMilliseconds: 100},
		'notice',
	],
	['then the gate accepts no new requests', {elapsedMilliseconds: 1500}, 'drain'],
	['it ends when nothing is in flight and no calls come', {}, 'end'],
	['it waits for requests in flight', {inFlight: 1}, 'drain'],
	['it waits while calls still come', {idleMilliseconds: 10}, 'drain'],
	[
		'it ends before the grace period does',
		{elapsedMilliseconds: 5600, inFlight: 3},
		'end',
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
