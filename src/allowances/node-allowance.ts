/**
 * A node's part of a team's allowance: the tokens that it was granted and has not spent, what it
 * reports to the allocator, and what it may let pass while the allocator is silent.
 *
 * Load pattern: a steady team whose allocator dies or is cut off. Its requests go on for a moment at
 * the rate at which the node was granted tokens; after that they are refused at once.
 */
import type {AllowanceQuestion} from './allocator.js';
import {computeTokenLifetime, computeUnbackedTime, type Cap} from './limits.js';
import {elapsedBetween, type Moment} from './moment.js';
import {
	addUses,
	countUses,
	createSlidingWindow,
	type SlidingWindow,
} from './sliding-window.js';

type Tokens = {count: number; readonly askedAt: Moment};

type Silence = {
	readonly since: Moment;
	/** Requests a millisecond that were granted before it. */
	readonly rate: number;
	/** Rounds what a node may let pass, so that it is right on average over all nodes. */
	readonly offset: number;
	passed: number;
};

export type NodeAllowance = {
	readonly windowMilliseconds: number;
	/** Oldest first. */
	tokens: Tokens[];
	/** Requests that spent a token. */
	readonly backed: SlidingWindow;
	/** Requests that were let pass without one, and not yet reported. */
	unbacked: SlidingWindow;
	/** Tokens that are to be returned, and the moment of the oldest grant among them. */
	returned: {count: number; readonly since: Moment} | undefined;
	/** Set while the allocator does not answer. */
	silence: Silence | undefined;
};

/** A token is returned only if its grant still counts at the allocator. */
const maximumReturnShare = 0.5;
/** Extra tokens as a share of what the node spends in the lifetime of a token. */
const extraShareOfUse = 0.5;

/**
 * Creates the part of a node that has no tokens yet.
 *
 * @param windowMilliseconds the window for which caps hold
 */
export function createNodeAllowance(windowMilliseconds: number): NodeAllowance {
	return {
		windowMilliseconds,
		tokens: [],
		backed: createSlidingWindow(windowMilliseconds),
		unbacked: createSlidingWindow(windowMilliseconds),
		returned: undefined,
		silence: undefined,
	};
}

/**
 * Adds granted tokens; the allocator has answered.
 *
 * @param allowance the node's part, changed in place
 * @param count number of tokens
 * @param askedAt when the node asked for them
 */
export function addTokens(
	allowance: NodeAllowance,
	count: number,
	askedAt: Moment,
): void {
	allowance.silence = undefined;
	if (count > 0) {
		allowance.tokens.push({count, askedAt});
	}
}

/**
 * Spends a token.
 *
 * @param allowance the node's part, changed in place
 * @param now the present moment
 * @returns whether there was one
 */
export function trySpendToken(allowance: NodeAllowance, now: Moment): boolean {
	dropExpired(allowance, now);
	const [oldest] = allowance.tokens;
	if (oldest === undefined) {
		return false;
	}

	oldest.count -= 1;
	if (oldest.count === 0) {
		allowance.tokens.shift();
	}

	addUses(allowance.backed, 1, now.monotonic);
	return true;
}

/**
 * Notes that the allocator does not answer.
 *
 * @param allowance the node's part, changed in place
 * @param now the present moment
 * @param random a number from 0 to below 1
 */
export function noteSilence(allowance: NodeAllowance, now: Moment, random: number): void {
	const backed = countUses(allowance.backed, now.monotonic);
	allowance.silence ??= {
		since: now,
		rate: backed / allowance.windowMilliseconds,
		offset: random,
		passed: 0,
	};
}

/**
 * Lets a request pass without a token, for a limited time and at a limited rate.
 *
 * @param allowance the node's part, changed in place
 * @param cap the team's cap
 * @param now the present moment
 * @returns whether it may pass
 */
export function tryPassUnbacked(
	allowance: NodeAllowance,
	cap: Cap,
	now: Moment,
): boolean {
	const {silence, windowMilliseconds} = allowance;
	if (silence === undefined) {
		return false;
	}

	const limit = computeUnbackedTime(cap, windowMilliseconds);
	const elapsed = elapsedBetween(silence.since, now);
	const passable = silence.offset + silence.rate * Math.min(limit, elapsed);
	if (elapsed > limit || silence.passed + 1 > passable) {
		return false;
	}

	silence.passed += 1;
	addUses(allowance.unbacked, 1, now.monotonic);
	return true;
}

/**
 * Returns a token whose request provably did not run.
 *
 * @param allowance the node's part, changed in place
 * @param spentAt a moment before the token was spent
 * @param now the present moment
 */
export function returnToken(
	allowance: NodeAllowance,
	spentAt: Moment,
	now: Moment,
): void {
	noteReturned(allowance, 1, spentAt, now);
}

/**
 * Computes what to ask the allocator for.
 *
 * @param allowance the node's part
 * @param waiting requests that wait for a token
 * @param now the present moment
 */
export function createQuestion(
	allowance: NodeAllowance,
	waiting: number,
	now: Moment,
): AllowanceQuestion {
	dropExpired(allowance, now);
	const {backed, unbacked, returned, windowMilliseconds} = allowance;
	const lifetime = computeTokenLifetime(windowMilliseconds);
	const perLifetime = (countUses(backed, now.monotonic) / windowMilliseconds) * lifetime;
	return {
		wanted: waiting,
		extra: Math.floor(perLifetime * extraShareOfUse),
		returned:
			returned && isReturnable(allowance, returned.since, now) ? returned.count : 0,
		unbacked: countUses(unbacked, now.monotonic),
	};
}

/**
 * Forgets the tokens that are returned by a question, before it is sent: if it is lost they count
 * as spent.
 *
 * @param allowance the node's part, changed in place
 */
export function markReturned(allowance: NodeAllowance): void {
	allowance.returned = undefined;
}

/**
 * Forgets the requests without a token that the allocator has learned of.
 *
 * @param allowance the node's part, changed in place
 */
export function markReported(allowance: NodeAllowance): void {
	allowance.unbacked = createSlidingWindow(allowance.windowMilliseconds);
}

function dropExpired(allowance: NodeAllowance, now: Moment): void {
	const lifetime = computeTokenLifetime(allowance.windowMilliseconds);
	for (;;) {
		const [oldest] = allowance.tokens;
		if (oldest === undefined || elapsedBetween(oldest.askedAt, now) < lifetime) {
			return;
		}

		noteReturned(allowance, oldest.count, oldest.askedAt, now);
		allowance.tokens.shift();
	}
}

function noteReturned(
	allowance: NodeAllowance,
	count: number,
	since: Moment,
	now: Moment,
): void {
	if (!isReturnable(allowance, since, now)) {
		return;
	}

	const {returned} = allowance;
	if (returned === undefined || !isReturnable(allowance, returned.since, now)) {
		allowance.returned = {count, since};
		return;
	}

	const isOlder = elapsedBetween(since, now) > elapsedBetween(returned.since, now);
	allowance.returned = {
		count: returned.count + count,
		since: isOlder ? since : returned.since,
	};
}

function isReturnable(allowance: NodeAllowance, since: Moment, now: Moment): boolean {
	const age = elapsedBetween(since, now);
	return age < allowance.windowMilliseconds * maximumReturnShare;
}
