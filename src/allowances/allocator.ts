/**
 * The allocator of one team's allowance: it alone grants tokens, up to the team's limit in a sliding
 * window, to the nodes at which the team's requests arrive.
 *
 * Load pattern: a team that sends several times its usual through many nodes at once. What exceeds
 * its limit is refused at once, and told to return when there is room, spread over the time that
 * serving what was refused takes.
 */
import type {GrantTerms} from './limits.js';
import {refillPace, spendPace, timeUntilPace, type Pace} from './pace.js';
import {
	addUses,
	countUses,
	createSlidingWindow,
	fillEvenly,
	takeBack,
	timeUntilLevel,
	type SlidingWindow,
} from './sliding-window.js';

export type Allocator = {
	readonly granted: SlidingWindow;
	readonly refused: SlidingWindow;
	readonly pace: Pace;
};

/** What a node asks of an allocator. */
export type AllowanceQuestion = {
	/** Requests that wait for a token. */
	readonly wanted: number;
	/** Tokens for requests that will likely come while they last. */
	readonly extra: number;
	/** Tokens granted to the node whose requests did not run. */
	readonly returned: number;
	/** Requests that the node let pass without a token. */
	readonly unbacked: number;
};

export type AllowanceGrant = {
	readonly granted: number;
	/** Time until there is room; zero if all that was wanted is granted. */
	readonly roomMilliseconds: number;
	/** Time after that over which the refused requests should be spread. */
	readonly spreadMilliseconds: number;
};

/** Share of the free tokens that one node may get beyond what it wants. */
const extraShare = 0.05;
/** Extra tokens are granted only while this share of the limit is free. */
const minimumFreeShare = 0.1;
/** Makes up for rounding in sums of fractions. */
const tolerance = 1e-6;

/**
 * Creates an allocator that knows nothing of what was granted before it: it takes the whole limit
 * for used, spread evenly, and so starts with the team's mean rate.
 *
 * @param spanMilliseconds how long a grant counts
 * @param limit tokens within the span
 * @param since when its predecessor stopped, in monotonic milliseconds
 * @returns the allocator
 */
export function createAllocator(
	spanMilliseconds: number,
	limit: number,
	since: number,
): Allocator {
	const granted = createSlidingWindow(spanMilliseconds);
	if (Number.isFinite(since)) {
		fillEvenly(granted, limit, since);
	}

	return {
		granted,
		refused: createSlidingWindow(spanMilliseconds),
		pace: {burst: 0, mean: 0, refilledAt: since},
	};
}

/**
 * Counts what others may have granted while this allocator was not in touch with them.
 *
 * @param allocator the allocator, changed in place
 * @param limit tokens that the others could grant within the span of a grant
 * @param now monotonic milliseconds
 */
export function assumeGranted(allocator: Allocator, limit: number, now: number): void {
	fillEvenly(allocator.granted, limit, now);
}

/**
 * Decides how many tokens a node gets.
 *
 * @param allocator the allocator, changed in place
 * @param question what the node wants and reports
 * @param terms what may be granted, as it applies now
 * @param now monotonic milliseconds
 * @returns the grant
 */
export function decideGrant(
	allocator: Allocator,
	question: AllowanceQuestion,
	terms: GrantTerms,
	now: number,
): AllowanceGrant {
	const {granted: window, refused, pace} = allocator;
	const {wanted} = question;
	const {limit} = terms;
	countUses(window, now);
	takeBack(window, question.returned);
	addUses(window, question.unbacked, now);
	spendPace(pace, question.unbacked - question.returned);
	const room = Math.min(limit - countUses(window, now), refillPace(pace, terms, now));
	const free = Math.max(0, Math.floor(room + tolerance));
	const granted = Math.min(wanted, free);
	if (granted < wanted) {
		addUses(window, granted, now);
		spendPace(pace, granted);
		addUses(refused, wanted - granted, now);
		const perRequest = window.spanMilliseconds / Math.max(1, limit);
		const spread = countUses(refused, now) * perRequest;
		return {
			granted,
			roomMilliseconds: Math.max(
				timeUntilLevel(window, limit - 1, now),
				timeUntilPace(pace, terms),
			),
			spreadMilliseconds: Math.min(window.spanMilliseconds, spread),
		};
	}

	const left = free - granted;
	const extra =
		left < limit * minimumFreeShare
			? 0
			: Math.min(question.extra, Math.floor(left * extraShare));
	addUses(window, granted + extra, now);
	spendPace(pace, granted + extra);
	return {granted: granted + extra, roomMilliseconds: 0, spreadMilliseconds: 0};
}

/**
 * Computes when a refused caller should return.
 *
 * @param grant the answer of the allocator
 * @param random a number from 0 to below 1
 * @returns milliseconds from now
 */
export function chooseReturn(
	grant: Pick<AllowanceGrant, 'roomMilliseconds' | 'spreadMilliseconds'>,
	random: number,
): number {
	return grant.roomMilliseconds + grant.spreadMilliseconds * random;
}
