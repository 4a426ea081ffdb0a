/**
 * Exhaustive check of all states reachable with two nodes, two keys, a freeze, a restart or planned
 * stop, a table fault and a clock step: no key runs twice and every reported outcome is true. The
 * same search must find deliberate faults.
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
	['a restart and a clock step', {...none, restarts: 1, clockSteps: 1}],
	['a freeze and a restart', {...none, freezes: 1, restarts: 1}],
];

const outcomeRule: OutcomeRule = (key, closing) => findExecutionOutcome(key, closing);

for (const [name, bound] of bounds) {
	test(`model: with ${name} no key runs twice and all outcomes are true`, () => {
		const {states, fault} = searchStates(bound, outcomeRule);
		console.log(`model: ${name}: ${states} states`);
		expect(fault).toEqual(undefined);
	});
}

const deliberateFaults: ReadonlyArray<readonly [string, Bounds, OutcomeRule]> = [
	[
		'a lease that expires by the clock',
		{...none, freezes: 1, clockSteps: 1},
		findOutcomeByLease,
	],
	['a restart that counts as proof', {...none, restarts: 1}, findOutcomeByRestart],
];

for (const [name, bound, faultyRule] of deliberateFaults) {
	test(`model: the search finds ${name}`, () => {
		const {fault} = searchStates(bound, faultyRule);
		expect(fault ?? '').toEqual(expect.includes('ran twice'));
		expect(searchStates(bound, outcomeRule).fault).toEqual(undefined);
	});
}
