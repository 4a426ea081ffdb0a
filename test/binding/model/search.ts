/**
 * Model checker: visits every state within the bounds, with the production functions as
 * transitions, and reports the first state that violates a guarantee.
 */
import {executionOutcomes} from '../../../src/binding/index.js';
import {
	type Bounds,
	type ModelState,
	createState,
	copyState,
	serializeState,
	applyWrite,
} from './state.js';
import {addNodeTransitions} from './node-transitions.js';
import {type OutcomeRule, addSendingTransitions} from './sending-transitions.js';

export type Visit = {
	readonly state: ModelState;
	readonly label: string;
	readonly previous: Visit | undefined;
};

export type SearchResult = {readonly states: number; readonly fault: string | undefined};

/**
 * Visits every state within the bounds.
 *
 * @param bounds how often each event may happen
 * @param outcomeRule finds the outcome of a key at a terminated home
 * @returns the number of states, and the first violation with the transitions that led to it
 */
export function searchStates(bounds: Bounds, outcomeRule: OutcomeRule): SearchResult {
	const start = createState(bounds);
	const seen = new Set<string>();
	const stack: Visit[] = [{state: start, label: 'start', previous: undefined}];
	for (let visit = stack.pop(); visit; visit = stack.pop()) {
		const {state} = visit;
		if (state.fault) {
			return {states: seen.size, fault: describePath(visit)};
		}

		const serialized = serializeState(state);
		if (seen.has(serialized)) {
			continue;
		}

		seen.add(serialized);
		const previous = visit;
		addTransitions(state, outcomeRule, (label, successor) => {
			stack.push({state: successor, label, previous});
		});
	}

	return {states: seen.size, fault: undefined};
}

export function describePath(last: Visit): string {
	const labels: string[] = [];
	for (let visit: Visit | undefined = last; visit; visit = visit.previous) {
		labels.unshift(visit.label);
	}

	return [...labels, last.state.fault].join('; ');
}

export type ReportSuccessor = (label: string, successor: ModelState) => void;

export function addTransitions(
	state: ModelState,
	outcomeRule: OutcomeRule,
	report: ReportSuccessor,
): void {
	const addTransition = (label: string, change: (copy: ModelState) => void) => {
		const copy = copyState(state);
		change(copy);
		report(label, copy);
	};

	for (const [index, node] of state.nodes.entries()) {
		addNodeTransitions(state, index, node, addTransition);
	}

	for (const index of state.sendings.keys()) {
		addSendingTransitions(state, index, outcomeRule, addTransition);
	}

	for (const [index, write] of state.delayedWrites.entries()) {
		addTransition(`late write of ${write.keyId}`, copy => {
			copy.delayedWrites.splice(index, 1);
			applyWrite(copy, write);
		});
	}

	if (state.remaining.clockSteps > 0) {
		addTransition('tick', copy => {
			copy.remaining.clockSteps -= 1;
			copy.clock += 1;
		});
	}
}

/** Deliberate fault: an expired lease releases a key. */
export const findOutcomeByLease: OutcomeRule = (key, closing, clock) =>
	closing !== undefined || clock < key.expiresAt
		? executionOutcomes.unknown
		: executionOutcomes.notRun;

/** Deliberate fault: a new incarnation counts as proof that nothing ran. */
export const findOutcomeByRestart: OutcomeRule = () => executionOutcomes.notRun;
