/** One attempt at a gate, from its arrival to its result. */
import {formatAttemptId, type AttemptResult} from '../call/index.js';
import type {Work} from '../waiting/index.js';
import type {RelayAttempt} from './call.js';
import type {RunningServerExchange} from './server-exchange.js';

export type Entry = {
	readonly key: string;
	readonly attempt: RelayAttempt;
	readonly work: Work;
	readonly settle: (result: AttemptResult) => void;
	exchange: RunningServerExchange | undefined;
	cancelled: boolean;
	startedAt: number;
};

/** Describes an attempt as the queue sees it. */
export function describeWork({id, call}: RelayAttempt, now: number): Work {
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

/** Lists what identifies an entry in the log. */
export function describe({attempt, work}: Entry): Record<string, unknown> {
	return {
		request: attempt.call.requestId,
		attempt: formatAttemptId(attempt.id),
		route: work.route,
		rank: work.rank,
		nested: work.nested,
		repeat: attempt.repeat,
	};
}
