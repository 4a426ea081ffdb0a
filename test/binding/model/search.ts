/**
 * Visits every world that the bounds allow, moved by the very functions that the product runs,
 * and names the first that breaks a promise.
 */
import {fates} from '../../../src/binding/index.js';
import {
	type Bounds,
	type World,
	createWorld,
	copyWorld,
	nameWorld,
	applyWrite,
} from './world.js';
import {listNodeMoves} from './node-moves.js';
import {type Judgement, listSendingMoves} from './sending-moves.js';

export type Visit = {
	readonly world: World;
	readonly label: string;
	readonly before: Visit | undefined;
};

export type SearchResult = {readonly worlds: number; readonly fault: string | undefined};

/**
 * Visits every world within the bounds.
 *
 * @param bounds how often each thing may happen
 * @param judge how the end of a home is judged
 * @returns the number of worlds, and the first broken promise with the moves that led to it
 */
export function search(bounds: Bounds, judge: Judgement): SearchResult {
	const start = createWorld(bounds);
	const seen = new Set<string>();
	const stack: Visit[] = [{world: start, label: 'start', before: undefined}];
	for (let visit = stack.pop(); visit; visit = stack.pop()) {
		const {world} = visit;
		if (world.fault) {
			return {worlds: seen.size, fault: describePath(visit)};
		}

		const name = nameWorld(world);
		if (seen.has(name)) {
			continue;
		}

		seen.add(name);
		const before = visit;
		listMoves(world, judge, (label, moved) => {
			stack.push({world: moved, label, before});
		});
	}

	return {worlds: seen.size, fault: undefined};
}

export function describePath(last: Visit): string {
	const labels: string[] = [];
	for (let visit: Visit | undefined = last; visit; visit = visit.before) {
		labels.unshift(visit.label);
	}

	return [...labels, last.world.fault].join('; ');
}

export type Report = (label: string, moved: World) => void;

export function listMoves(world: World, judge: Judgement, report: Report): void {
	const move = (label: string, change: (copy: World) => void) => {
		const copy = copyWorld(world);
		change(copy);
		report(label, copy);
	};

	for (const [index, node] of world.nodes.entries()) {
		listNodeMoves(world, index, node, move);
	}

	for (const index of world.sendings.keys()) {
		listSendingMoves(world, index, judge, move);
	}

	for (const [index, write] of world.late.entries()) {
		move(`late write of ${write.keyId}`, copy => {
			copy.late.splice(index, 1);
			applyWrite(copy, write);
		});
	}

	if (world.left.ticks > 0) {
		move('tick', copy => {
			copy.left.ticks -= 1;
			copy.clock += 1;
		});
	}
}

/** The planted mistake: a lapsed lease frees a key. */
export const judgeByLease: Judgement = (key, closing, clock) =>
	closing !== undefined || clock < key.expiresAt ? fates.unknown : fates.notRun;

/** The planted mistake: a new incarnation is taken for proof that nothing ran. */
export const judgeByRestart: Judgement = () => fates.notRun;
