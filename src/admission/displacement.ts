/**
 * Whose place a request may take when the queue is full. Each rank keeps the places that its
 * floor needs; of the rest, the least urgent rank loses first, and within a rank the caller that
 * has most waiting.
 */
import {countLongest} from './rank-queue.js';
import {queueCapacity, type AdmissionState, type RankState} from './state.js';

/**
 * Finds the rank that has to give up one waiting request.
 *
 * @param state the gate's admission
 * @param rankIndex the position of the incoming request's rank, 0 for the most urgent
 * @param caller whose turn the incoming request takes
 * @returns the rank to drop from, or undefined when the incoming request has to go
 */
export function findRankToDisplace(
	state: AdmissionState,
	rankIndex: number,
	caller: string,
): RankState | undefined {
	const places = queueCapacity(state);
	const own = state.ranks[rankIndex]!;
	const mostUrgentVictim = holdsLessThanFloor(own, places) ? 0 : rankIndex + 1;
	for (let index = state.ranks.length - 1; index >= mostUrgentVictim; index -= 1) {
		const rank = state.ranks[index]!;
		if (rank !== own && holdsMoreThanFloor(rank, places)) {
			return rank;
		}
	}

	const ownWaiting = own.queue.callers.get(caller)?.length ?? 0;
	return countLongest(own.queue) > ownWaiting + 1 ? own : undefined;
}

function holdsLessThanFloor(rank: RankState, places: number): boolean {
	return rank.queue.size < countFloorPlaces(rank, places);
}

function holdsMoreThanFloor(rank: RankState, places: number): boolean {
	return rank.queue.size > countFloorPlaces(rank, places);
}

/** Rounded down, so that the floors of all ranks together fit; but a floor needs one place. */
function countFloorPlaces(rank: RankState, places: number): number {
	const smallest = rank.floorShare > 0 ? 1 : 0;
	return Math.max(smallest, Math.floor(rank.floorShare * places));
}
