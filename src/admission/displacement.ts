/**
 * Chooses the waiting request to displace when the queue is full. Each rank keeps the places that
 * its floor guarantees; of the others, those of the least urgent rank are displaced first, and
 * within a rank those of the caller with the most waiting requests.
 */
import {countLongest} from './rank-queue.js';
import {queueCapacity, type AdmissionState, type RankState} from './state.js';

/**
 * Finds the rank whose queue drops one waiting request.
 *
 * @param state the gate's admission
 * @param rankIndex the position of the incoming request's rank, 0 for the most urgent
 * @param fairnessKey the fairness key of the incoming request
 * @returns the rank to drop from, or undefined when the incoming request is refused
 */
export function findRankToDisplace(
	state: AdmissionState,
	rankIndex: number,
	fairnessKey: string,
): RankState | undefined {
	const capacity = queueCapacity(state);
	const own = state.ranks[rankIndex]!;
	const mostUrgentToDisplace = holdsLessThanFloor(own, capacity) ? 0 : rankIndex + 1;
	for (let index = state.ranks.length - 1; index >= mostUrgentToDisplace; index -= 1) {
		const rank = state.ranks[index]!;
		if (rank !== own && holdsMoreThanFloor(rank, capacity)) {
			return rank;
		}
	}

	const ownWaiting = own.queue.callers.get(fairnessKey)?.length ?? 0;
	return countLongest(own.queue) > ownWaiting + 1 ? own : undefined;
}

function holdsLessThanFloor(rank: RankState, capacity: number): boolean {
	return rank.queue.size < countFloorPlaces(rank, capacity);
}

function holdsMoreThanFloor(rank: RankState, capacity: number): boolean {
	return rank.queue.size > countFloorPlaces(rank, capacity);
}

/** Rounded down, so that the floors of all ranks fit together; but at least one for a floor. */
function countFloorPlaces(rank: RankState, capacity: number): number {
	const minimum = rank.floorShare > 0 ? 1 : 0;
	return Math.max(minimum, Math.floor(rank.floorShare * capacity));
}
