/** What a caller is told when admission refuses its request. */
import {refusalReasons, type RefusalReason} from '../admission/index.js';
import {createRefusal, refusalKinds, type Refusal} from '../call/index.js';

type Description = {readonly kind: Refusal['kind']; readonly message: string};

const descriptions: Readonly<Record<RefusalReason, Description>> = {
	[refusalReasons.queueFull]: {
		kind: refusalKinds.overloaded,
		message: 'the server has no room for more work of this rank: try again later',
	},
	[refusalReasons.displaced]: {
		kind: refusalKinds.overloaded,
		message: 'more urgent work took the place of this request: try again later',
	},
	[refusalReasons.tooLate]: {
		kind: refusalKinds.overloaded,
		message: 'the request would wait past its deadline here: try again later',
	},
	[refusalReasons.expired]: {
		kind: refusalKinds.deadlineExceeded,
		message: 'the deadline passed before a slot came free: allow more time or try later',
	},
	[refusalReasons.duplicate]: {
		kind: refusalKinds.cancelled,
		message: 'an attempt with this id is under way: wait for its answer',
	},
};

/**
 * @param reason why admission refused the request
 * @param retryAfterMilliseconds when a new try makes sense, in milliseconds from now
 * @returns the refusal to answer with
 */
export function createGateRefusal(
	reason: RefusalReason,
	retryAfterMilliseconds: number,
): Refusal {
	const {kind, message} = descriptions[reason];
	return createRefusal(kind, message, retryAfterMilliseconds);
}
