/**
 * Whose turn the next slot is: strict by rank above the guaranteed floors. While a rank waits,
 * each dispatch earns it its floor share of the slot time; once that pays for one of its
 * requests, the rank goes before more urgent ones. A rank that is served without its floor owes
 * nothing, and one that doesn't wait earns nothing. While more urgent work comes in, a rank leaves
 * it a share of the slots free, so that urgent work seldom waits for a slot at all; a floor that
 * is due may take these as well.
 */
import {type RankState} from './state.js';

const recentShareWeight = 0.02;
const serviceWeight = 0.1;
const smallestCost = 0.05;
const headroomShare = 0.1;
/** Share of more urgent work from which on headroom is left for it. */
const smallestUrgentShare = 0.01;

/**
 * Chooses the rank that the next slot goes to.
 *
 * @param ranks the gate's ranks, most urgent first
 * @param meanServiceMilliseconds moving mean over all ranks
 * @param freeSlots slots that are free now
 * @param slots slots that are usable at all
 * @returns the position of the rank, or undefined when nothing waits or all has to wait on
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
 * Tells how many slots a rank has to leave free for more urgent ones.
 *
 * @param ranks the gate's ranks, most urgent first
 * @param rankIndex the position of the rank
 * @param slots slots that are usable at all
 * @returns the slots; none while no more urgent work comes in
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

	return urgentShare < smallestUrgentShare ? 0 : Math.floor(slots * headroomShare);
}

/**
 * Books one dispatch.
 *
 * @param ranks changed in place
 * @param dispatched the position of the rank that was served
 * @param meanServiceMilliseconds moving mean over all ranks
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
 * Learns the service time of a rank from one whole answer.
 *
 * @param rank changed in place
 * @param serviceMilliseconds how long the server took
 */
export function recordServiceTime(rank: RankState, serviceMilliseconds: number): void {
	rank.serviceMilliseconds +=
		(serviceMilliseconds - rank.serviceMilliseconds) * serviceWeight;
}

/** The slot time that one request of the rank takes, in units of the mean service time. */
function costOf(rank: RankState, meanServiceMilliseconds: number): number {
	return Math.max(
		smallestCost,
		rank.serviceMilliseconds / Math.max(meanServiceMilliseconds, Number.MIN_VALUE),
	);
}
