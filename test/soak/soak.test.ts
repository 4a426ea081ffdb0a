/**
 * Short runs of the soak with real processes: one with planned operations only, one with mixed
 * faults, and every seed that has failed, as a regression test with its cause.
 */
import {test} from 'node:test';
import {expect} from 'earl';
import {runSoak} from '../../soak/run.js';

const shortRun = {nodes: 4, faultPeriodMilliseconds: 6000, callersPerNode: 3};

const seeds: ReadonlyArray<readonly [number, string]> = [
	[
		4,
		'planned operations only; a call that came 15 ms before a stopping node ended was once cut off',
	],
	[5, 'mixed faults'],
];

for (const [seed, what] of seeds) {
	test(`the guarantees hold under the faults of seed ${seed}: ${what}`, async () => {
		const {findings, served} = await runSoak({...shortRun, seed});
		console.log(`soak seed ${seed}: ${served} served`);
		expect(findings).toEqual([]);
		expect(served).toBeGreaterThan(200);
	});
}
