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

/** Tells whether a started request made the one with an id; the id of a nested request extends it. */
export function isParentOf({attempt, exchange}: GateEntry, requestId: string): boolean {
	const {requestId: runningId} = attempt.call;
	const isLonger = requestId.length > runningId.length && runningId !== '';
	return exchange !== undefined && isLonger && requestId.startsWith(runningId);
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
