/**
 * Bounds of a divided allowance, derived from a team's cap and the window that it holds for. With
 * L = rate x window + burst, tokens are granted up to L x 1.05 in a window that is longer by the
 * lifetime of a token, so that at most L x 1.05 of them are spent in any window. What is spent
 * without a token is at most L x 0.05 + 15 in an outage of the allocator.
 */

/** A team's cap. */
export type Cap = {
	readonly requestsPerSecond: number;
	/** Requests beyond the rate that may come at once. */
	readonly burst: number;
};

const millisecondsPerSecond = 1000;
/** Lifetime of a token as a share of the window. */
const lifetimeShare = 0.05;
/** What may be spent without a token: a share of the limit, and some requests. */
const unbackedShare = 0.05;
const unbackedRequests = 15;
/** Longest time of spending without a token, as a share of the window. */
const maximumUnbackedShareOfWindow = 0.3;

/**
 * Computes how many requests of a team may run in a window.
 *
 * @param cap the team's cap
 * @param windowMilliseconds length of the window
 * @returns at least one
 */
export function computeLimit(cap: Cap, windowMilliseconds: number): number {
	const {requestsPerSecond, burst} = cap;
	const limit = (requestsPerSecond * windowMilliseconds) / millisecondsPerSecond + burst;
	return Math.max(1, limit);
}

/** How long a granted token may be spent, in milliseconds. */
export function computeTokenLifetime(windowMilliseconds: number): number {
	return windowMilliseconds * lifetimeShare;
}

/** How long a grant counts at the allocator, in milliseconds. */
export function computeGrantSpan(windowMilliseconds: number): number {
	return windowMilliseconds + computeTokenLifetime(windowMilliseconds);
}

/** How many tokens an allocator grants within the span of a grant. */
export function computeGrantLimit(cap: Cap, windowMilliseconds: number): number {
	return computeLimit(cap, windowMilliseconds) * (1 + lifetimeShare);
}

/**
 * Computes for how long a node may go on, at the rate at which it has been granted tokens, when the
 * allocator is silent.
 *
 * @param cap the team's cap
 * @param windowMilliseconds length of the window
 * @returns milliseconds
 */
export function computeUnbackedTime(cap: Cap, windowMilliseconds: number): number {
	const limit = computeLimit(cap, windowMilliseconds);
	const share = unbackedShare + unbackedRequests / limit;
	return windowMilliseconds * Math.min(maximumUnbackedShareOfWindow, share);
}

/** What an allocator may grant now. */
export type GrantTerms = {
	/** Tokens within the span of a grant. */
	readonly limit: number;
	/** Tokens that may be granted at once after a rest. */
	readonly burst: number;
	readonly perMillisecond: number;
	/** Mean over a span in which the whole limit is granted. */
	readonly meanPerMillisecond: number;
};

/** Few requests need no pace. */
const unpacedRequests = 10;

/**
 * Computes what an allocator may grant.
 *
 * @param cap the team's cap
 * @param windowMilliseconds length of the window
 * @param share share of the cap that this part of the mesh may grant
 */
export function computeGrantTerms(
	cap: Cap,
	windowMilliseconds: number,
	share: number,
): GrantTerms {
	const limit = computeGrantLimit(cap, windowMilliseconds) * share;
	return {
		limit,
		burst: cap.burst * share + unpacedRequests,
		perMillisecond: (cap.requestsPerSecond / millisecondsPerSecond) * share,
		meanPerMillisecond: limit / computeGrantSpan(windowMilliseconds),
	};
}
