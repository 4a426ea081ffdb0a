/** Random faults over keyed calls from a printed seed; `npm run bench:binding` is the long form. */
import {test} from 'node:test';
import {expect} from 'earl';
import {runRandomKeyedCalls} from '../support/random-keyed-calls.js';

const run = {keys: 400, seed: 20_261_204, callers: 16};

test('no key runs twice under random faults, and no caller is told a lie', async context => {
	const report = await runRandomKeyedCalls(context, run);
	console.log(JSON.stringify({...run, ...report}));
	expect(report.doubled).toEqual([]);
	expect(report.contradicted).toEqual([]);
	expect(report.runs > 0).toEqual(true);
});
