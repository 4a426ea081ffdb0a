/** Refusals for the requests that admission control rejects. */
import {refusalReasons, type RefusalReason} from '../admission/index.js';
import {createRefusal, refusalKinds, type Refusal} from '../call/index.js';

type Description = {readonly kind: Refusal['kind']; readonly message: string};

const descriptions: Readonly<Record<RefusalReason, Description>> = {
	[refusalReasons.queueFull]: {
		kind: refusalKinds.overloaded,
		message: 'the queue for this rank is full: try again later',
	},
	[refusalReasons.displaced]: {
		kind: refusalKinds.overloaded,
		message: 'a more urgent request displaced this one from the queue: try again later',
	},
	[refusalReasons.tooLate]: {
		kind: refusalKinds.overloaded,
		message:
			'the request would be queued past its deadline at this server: try again later',
	},
	[refusalReasons.expired]: {
		kind: refusalKinds.deadlineExceeded,
		message: 'the deadline passed before a slot was free: allow more time or try later',
	},
	[refusalReasons.duplicate]: {
		kind: refusalKinds.cancelled,
		message: 'an attempt with this id is in progress: wait for its response',
	},
};

/**
 * @param reason why admission refused the request
 * @param retryAfterMilliseconds delay before the caller should retry, in milliseconds
 * @returns the refusal to answer with
 */
export function createGateRefusal(
	reason: RefusalReason,
	retryAfterMilliseconds: number,
): Refusal {
	const {kind, message} = descriptions[reason];
	return createRefusal(kind, message, retryAfterMilliseconds);
}
