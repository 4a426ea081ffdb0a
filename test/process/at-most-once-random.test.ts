/** Keyed calls under random faults from a fixed seed; `npm run bench:binding` runs more of them. */
import {test} from 'node:test';
import {expect} from 'earl';
import {runRandomKeyedCalls} from '../support/random-keyed-calls.js';

const run = {keys: 400, seed: 20_261_204, callers: 16};

test('no key runs twice under random faults, and no reported outcome contradicts the journals', async context => {
	const report = await runRandomKeyedCalls(context, run);
	console.log(JSON.stringify({...run, ...report}));
	expect(report.doubled).toEqual([]);
	expect(report.contradicted).toEqual([]);
	expect(report.runs > 0).toEqual(true);
});
