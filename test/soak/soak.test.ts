/**
 * Short runs of the soak with real processes: one of planned work alone, one of mixed faults, and
 * each seed that ever failed, as a regression case with its cause.
 */
import {test} from 'node:test';
import {expect} from 'earl';
import {runSoak} from '../../soak/run.js';

const shortRun = {nodes: 4, milliseconds: 6000, callersPerNode: 3};

const seeds: ReadonlyArray<readonly [number, string]> = [
	[
		4,
		'planned work alone; a call that came 15 ms before the end of a stopping node was cut',
	],
	[5, 'mixed faults'],
];

for (const [seed, what] of seeds) {
	test(`the promises hold under the faults of seed ${seed}: ${what}`, async () => {
		const {findings, served} = await runSoak({...shortRun, seed});
		console.log(`soak seed ${seed}: ${served} served`);
		expect(findings).toEqual([]);
		expect(served).toBeGreaterThan(200);
	});
}
