/**
 * Chooses the rank for the next slot: strict priority, with a guaranteed share (floor) for each
 * rank. While requests of a rank wait, each dispatch credits the rank with its floor share of the
 * slot time; once the credit covers one of its requests, the rank goes before more urgent ones.
 * Credit never falls below zero, and a rank without waiting requests earns none. While more urgent
 * requests arrive, a rank leaves a share of the slots free for them, so that they seldom wait for
 * a slot; a rank with enough credit may use these slots as well.
 */
import {type RankState} from './state.js';

const recentShareWeight = 0.02;
const serviceWeight = 0.1;
const minimumCost = 0.05;
const reservedShare = 0.1;
/** Recent share of more urgent ranks from which on slots are reserved for them. */
const minimumUrgentShare = 0.01;

/**
 * Chooses the rank that the next slot goes to.
 *
 * @param ranks the gate's ranks, most urgent first
 * @param meanServiceMilliseconds moving average of the service time over all ranks
 * @param freeSlots slots that are free now
 * @param slots slots that may be used concurrently
 * @returns the position of the rank, or undefined when no waiting request may start
 */
export function chooseRank(
	ranks: readonly RankState[],
	meanServiceMilliseconds: number,
	freeSlots: number,
	slots: number,
): number | undefined {
	let mostUrgent: number | undefined;
	for (const [index, rank] of ranks.entries()) {
		if (rank.queue.size === 0) {
			continue;
		}

		mostUrgent ??= index;
		if (rank.credit >= costOf(rank, meanServiceMilliseconds)) {
			return index;
		}
	}

	if (
		mostUrgent === undefined ||
		freeSlots <= countReservedSlots(ranks, mostUrgent, slots)
	) {
		return undefined;
	}

	return mostUrgent;
}

/**
 * Counts the slots that a rank has to leave free for more urgent ones.
 *
 * @param ranks the gate's ranks, most urgent first
 * @param rankIndex the position of the rank
 * @param slots slots that may be used concurrently
 * @returns the slots; zero while no more urgent requests arrive
 */
export function countReservedSlots(
	ranks: readonly RankState[],
	rankIndex: number,
	slots: number,
): number {
	let urgentShare = 0;
	for (let index = 0; index < rankIndex; index += 1) {
		urgentShare += ranks[index]!.recentShare;
	}

	return urgentShare < minimumUrgentShare ? 0 : Math.floor(slots * reservedShare);
}

/**
 * Charges one dispatch to its rank and credits the waiting ranks.
 *
 * @param ranks changed in place
 * @param dispatched the position of the rank that was served
 * @param meanServiceMilliseconds moving average of the service time over all ranks
 */
export function chargeDispatch(
	ranks: readonly RankState[],
	dispatched: number,
	meanServiceMilliseconds: number,
): void {
	const served = ranks[dispatched]!;
	const cost = costOf(served, meanServiceMilliseconds);
	for (const rank of ranks) {
		const share = rank === served ? 1 : 0;
		rank.recentShare += (share - rank.recentShare) * recentShareWeight;
		if (rank.queue.size > 0 || rank === served) {
			rank.credit += rank.floorShare * cost;
		}
	}

	served.credit = Math.max(0, served.credit - cost);
}

/**
 * Records the service time of one complete response.
 *
 * @param rank changed in place
 * @param serviceMilliseconds how long the server took
 */
export function recordServiceTime(rank: RankState, serviceMilliseconds: number): void {
	rank.serviceMilliseconds +=
		(serviceMilliseconds - rank.serviceMilliseconds) * serviceWeight;
}

/** Slot time of one request of the rank, in units of the mean service time. */
function costOf(rank: RankState, meanServiceMilliseconds: number): number {
	return Math.max(
		minimumCost,
		rank.serviceMilliseconds / Math.max(meanServiceMilliseconds, Number.MIN_VALUE),
	);
}
