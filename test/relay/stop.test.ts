/** The order of a planned stop. */
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
		'callers are told first and the gate still works',
		{elapsedMilliseconds: 100},
		'notice',
	],
	['then the gate takes nothing new', {elapsedMilliseconds: 1500}, 'drain'],
	['it ends when all is quiet', {}, 'end'],
	['it waits for what is in flight', {inFlight: 1}, 'drain'],
	['it waits for callers that still come', {idleMilliseconds: 10}, 'drain'],
	['it ends before its grace does', {elapsedMilliseconds: 5600, inFlight: 3}, 'end'],
];
for (const [name, patch, step] of cases) {
	test(name, () => {
		expect<string>(decideStopStep({...progress, ...patch})).toEqual(step);
	});
}
