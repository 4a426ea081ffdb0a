/**
 * Visits every world that the bounds allow, moved by the very functions that the product runs,
 * and names the first that breaks a promise.
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
 * Visits every world within the bounds.
 *
 * @param bounds how often each thing may happen
 * @param judge how the end of a home is judged
 * @returns the number of worlds, and the first broken promise with the moves that led to it
 */
export function searchStates(bounds: Bounds, judge: OutcomeRule): SearchResult {
	const start = createState(bounds);
	const seen = new Set<string>();
	const stack: Visit[] = [{state: start, label: 'start', previous: undefined}];
	for (let visit = stack.pop(); visit; visit = stack.pop()) {
		const {state: world} = visit;
		if (world.fault) {
			return {states: seen.size, fault: describePath(visit)};
		}

		const name = serializeState(world);
		if (seen.has(name)) {
			continue;
		}

		seen.add(name);
		const before = visit;
		addTransitions(world, judge, (label, moved) => {
			stack.push({state: moved, label, previous: before});
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

export type ReportSuccessor = (label: string, moved: ModelState) => void;

export function addTransitions(
	world: ModelState,
	judge: OutcomeRule,
	report: ReportSuccessor,
): void {
	const move = (label: string, change: (copy: ModelState) => void) => {
		const copy = copyState(world);
		change(copy);
		report(label, copy);
	};

	for (const [index, node] of world.nodes.entries()) {
		addNodeTransitions(world, index, node, move);
	}

	for (const index of world.sendings.keys()) {
		addSendingTransitions(world, index, judge, move);
	}

	for (const [index, write] of world.delayedWrites.entries()) {
		move(`late write of ${write.keyId}`, copy => {
			copy.delayedWrites.splice(index, 1);
			applyWrite(copy, write);
		});
	}

	if (world.remaining.clockSteps > 0) {
		move('tick', copy => {
			copy.remaining.clockSteps -= 1;
			copy.clock += 1;
		});
	}
}

/** The planted mistake: a lapsed lease frees a key. */
export const findOutcomeByLease: OutcomeRule = (key, closing, clock) =>
	closing !== undefined || clock < key.expiresAt
		? executionOutcomes.unknown
		: executionOutcomes.notRun;

/** The planted mistake: a new incarnation is taken for proof that nothing ran. */
export const findOutcomeByRestart: OutcomeRule = () => executionOutcomes.notRun;
