/**
 * Every world that two nodes, two keys, a freeze, a restart or planned stop, a table fault and a
 * step of the clock can make: no key runs twice and every caller is told the truth. The same
 * search finds planted mistakes.
 */
import {test} from 'node:test';
import {expect} from 'earl';
import {fateOfKey} from '../../src/binding/index.js';
import {judgeByLease, judgeByRestart, search} from './model/search.js';
import type {Judgement} from './model/sending-moves.js';
import type {Bounds} from './model/world.js';

const none: Bounds = {sendings: 2, freezes: 0, restarts: 0, tableFaults: 0, ticks: 0};

const bounds: ReadonlyArray<readonly [string, Bounds]> = [
	['a table fault in three sendings', {...none, sendings: 3, tableFaults: 1}],
	['a freeze and a table fault', {...none, freezes: 1, tableFaults: 1}],
	['a restart and a table fault', {...none, restarts: 1, tableFaults: 1}],
	['a restart and a step of the clock', {...none, restarts: 1, ticks: 1}],
	['a freeze and a restart', {...none, freezes: 1, restarts: 1}],
];

const judge: Judgement = (key, closing) => fateOfKey(key, closing);

for (const [name, bound] of bounds) {
	test(`model: ${name} break no promise of the binding`, () => {
		const {worlds, fault} = search(bound, judge);
		console.log(`model: ${name}: ${worlds} worlds`);
		expect(fault).toEqual(undefined);
	});
}

const mistakes: ReadonlyArray<readonly [string, Bounds, Judgement]> = [
	['a lease that a clock ends', {...none, freezes: 1, ticks: 1}, judgeByLease],
	['a restart taken for proof', {...none, restarts: 1}, judgeByRestart],
];

for (const [name, bound, mistake] of mistakes) {
	test(`model: the search finds ${name}`, () => {
		const {fault} = search(bound, mistake);
		expect(fault ?? '').toEqual(expect.includes('ran twice'));
		expect(search(bound, judge).fault).toEqual(undefined);
	});
}
