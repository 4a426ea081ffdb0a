/**
 * Every world that two nodes, two keys, a freeze, a restart or planned stop, a table fault and a
 * step of the clock can make: no key runs twice and every caller is told the truth. The same
 * search finds planted mistakes.
 */
import {test} from 'node:test';
import {expect} from 'earl';
import {findExecutionOutcome} from '../../src/binding/index.js';
import {findOutcomeByLease, findOutcomeByRestart, searchStates} from './model/search.js';
import type {OutcomeRule} from './model/sending-transitions.js';
import type {Bounds} from './model/state.js';

const none: Bounds = {
	sendings: 2,
	freezes: 0,
	restarts: 0,
	tableFaults: 0,
	clockSteps: 0,
};

const bounds: ReadonlyArray<readonly [string, Bounds]> = [
	['a table fault in three sendings', {...none, sendings: 3, tableFaults: 1}],
	['a freeze and a table fault', {...none, freezes: 1, tableFaults: 1}],
	['a restart and a table fault', {...none, restarts: 1, tableFaults: 1}],
	['a restart and a step of the clock', {...none, restarts: 1, clockSteps: 1}],
	['a freeze and a restart', {...none, freezes: 1, restarts: 1}],
];

const judge: OutcomeRule = (key, closing) => findExecutionOutcome(key, closing);

for (const [name, bound] of bounds) {
	test(`model: ${name} break no promise of the binding`, () => {
		const {states: worlds, fault} = searchStates(bound, judge);
		console.log(`model: ${name}: ${worlds} worlds`);
		expect(fault).toEqual(undefined);
	});
}

const mistakes: ReadonlyArray<readonly [string, Bounds, OutcomeRule]> = [
	['a lease that a clock ends', {...none, freezes: 1, clockSteps: 1}, findOutcomeByLease],
	['a restart taken for proof', {...none, restarts: 1}, findOutcomeByRestart],
];

for (const [name, bound, mistake] of mistakes) {
	test(`model: the search finds ${name}`, () => {
		const {fault} = searchStates(bound, mistake);
		expect(fault ?? '').toEqual(expect.includes('ran twice'));
		expect(searchStates(bound, judge).fault).toEqual(undefined);
	});
}
