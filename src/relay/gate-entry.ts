/** One attempt at a gate, from its arrival to its result. */
import {formatAttemptId, type AttemptResult} from '../call/index.js';
import type {GateRequest} from '../waiting/index.js';
import type {RelayAttempt} from './call.js';
import type {RunningServerExchange} from './server-exchange.js';

export type GateEntry = {
	readonly key: string;
	readonly attempt: RelayAttempt;
	readonly request: GateRequest;
	readonly settle: (result: AttemptResult) => void;
	/** Id of the server that it was sent to; undefined until then. */
	serverId: string | undefined;
	exchange: RunningServerExchange | undefined;
	cancelled: boolean;
	startedAt: number;
};

/**
 * Creates the entry of an attempt that has arrived.
 *
 * @param attempt the attempt
 * @param now monotonic time in milliseconds
 * @param settle called once with the result
 * @param mustRunAlone whether nothing else may run beside it
 * @returns the entry, not started
 */
export function createEntry(
	attempt: RelayAttempt,
	now: number,
	settle: (result: AttemptResult) => void,
	mustRunAlone: () => boolean,
): GateEntry {
	return {
		key: formatAttemptId(attempt.id),
		attempt,
		request: {...createGateRequest(attempt, now), mustRunAlone},
		settle,
		serverId: undefined,
		exchange: undefined,
		cancelled: false,
		startedAt: 0,
	};
}

/** A request that may be a call of the local server, by what it states itself. */
export type CallClaim = {
	/** Undefined if not given. */
	readonly requestId: string | undefined;
	/** How long its sender waits; undefined if not given. */
	readonly timeoutMilliseconds: number | undefined;
};

/** By how much a call may seem to outlast its parent, since it may be read late. */
const lateArrivalMilliseconds = 500;

/**
 * Tells whether a started request may have made a call: the call's id extends that of its parent, and it expires no
 * later. Anybody may state both, so they prove nothing of where the call comes from.
 *
 * @param entry the started request
 * @param claim what the call states
 * @param now monotonic time in milliseconds
 */
export function mayBeParentOf(
	{attempt, exchange}: GateEntry,
	{requestId = '', timeoutMilliseconds = 0}: CallClaim,
	now: number,
): boolean {
	const {requestId: runningId, deadlineAt} = attempt.call;
	const isLonger = requestId.length > runningId.length && runningId !== '';
	const extendsId = isLonger && requestId.startsWith(runningId);
	const expiresInTime = now + timeoutMilliseconds <= deadlineAt + lateArrivalMilliseconds;
	return exchange !== undefined && extendsId && expiresInTime;
}

/** Creates the queue's view of an attempt. */
function createGateRequest({id, call}: RelayAttempt, now: number): GateRequest {
	return {
		id: formatAttemptId(id),
		rank: call.rank,
		route: call.route,
		nested: call.nested,
		arrivedAt: now,
		targetMilliseconds: call.targetMilliseconds,
		targetAt: call.targetAt,
		deadlineAt: call.deadlineAt,
	};
}

/** Lists the log fields that identify an entry. */
export function describeEntry({
	attempt,
	request: work,
}: GateEntry): Record<string, unknown> {
	return {
		request: attempt.call.requestId,
		attempt: formatAttemptId(attempt.id),
		route: work.route,
		rank: work.rank,
		nested: work.nested,
		repeat: attempt.isRetry,
	};
}
