/**
 * Refusals of keyed requests. A caller may send a request several times with the same key. The
 * outcome is that of the key, not of the refused request: as an earlier request with the key may
 * have run, it is `unknown` unless the caller marks this one as the first.
 */
import {
	createRefusal,
	outcomes,
	refusalKinds,
	type Outcome,
	type Refusal,
} from '../call/index.js';
import type {BindingResult} from './binding.js';
import {executionOutcomes} from './closing.js';
import type {KeyError} from './issued-key.js';
import {claimKinds, type ClaimKind} from './ledger.js';

/** A refusal and the outcome of the key. */
export type KeyRefusal = {readonly refusal: Refusal; readonly outcome: Outcome};

/** Results of a claim that refuse the request. */
export type RefusedClaim = Exclude<ClaimKind, 'run' | 'join' | 'answered'>;

/** Results of a binding without a home to run the key. */
export type UnboundResult = Exclude<BindingResult, {kind: 'bound'}>;

const retryAfterMilliseconds = 1000;

/**
 * Creates the refusal for a claim refused by the ledger of the key's home.
 *
 * @param kind the result of the claim
 * @returns the refusal
 */
export function refuseClaim(kind: RefusedClaim): KeyRefusal {
	switch (kind) {
		case claimKinds.conflict: {
			const message =
				'the key was used with another request: use a new key for a new request';
			return createKeyRefusal(refusalKinds.keyConflict, message, outcomes.notRun);
		}

		case claimKinds.unknown: {
			const message =
				'contact was lost while the request ran: ask the service whether it ran, it will not run again';
			return createKeyRefusal(refusalKinds.serverFailed, message, outcomes.unknown);
		}

		case claimKinds.expired: {
			const message =
				'the key has expired: ask the service whether it ran before you use a new key';
			return createKeyRefusal(refusalKinds.keyExpired, message, outcomes.unknown);
		}

		case claimKinds.full: {
			const message =
				'the ledger at the home of the key is full: send it again later, or get a key from another node';
			return createKeyRefusal(refusalKinds.ledgerFull, message, outcomes.notRun);
		}

		case claimKinds.closing: {
			const message = 'the home of the key is stopping: send it again in a few seconds';
			return createKeyRefusal(refusalKinds.leaving, message, outcomes.notRun);
		}

		case claimKinds.closed: {
			const message =
				'the home of the key has stopped: send it again through another node';
			return createKeyRefusal(refusalKinds.keyHomeGone, message, outcomes.unknown);
		}
	}
}

/**
 * Creates the refusal for a key that could not be bound to a home.
 *
 * @param result the result of the binding
 * @param isFirstSending whether the caller marks this request as the first with the key
 * @returns the refusal
 */
export function refuseUnbound(
	result: UnboundResult,
	isFirstSending: boolean,
): KeyRefusal {
	if (result.kind === 'unavailable') {
		return refuseUndecided(
			refusalKinds.storeUnavailable,
			'the table that binds keys chosen by callers does not answer: use issued keys, or send it again later',
			isFirstSending,
		);
	}

	if (result.outcome === executionOutcomes.ran) {
		const message =
			'the request ran, but the node that kept its answer has stopped: ask the service for it';
		return createKeyRefusal(refusalKinds.keyHomeGone, message, outcomes.ran);
	}

	return refuseUndecided(
		refusalKinds.keyHomeGone,
		'the home of the key cannot be reached and has not reported what it ran: send it again later, or ask the service whether it ran',
		isFirstSending,
	);
}

/**
 * Creates the refusal for a request that never reached the home of its key.
 *
 * @param kind the reason
 * @param message the reason and the remedy
 * @param isFirstSending whether the caller marks this request as the first with the key
 * @returns the refusal
 */
export function refuseUndecided(
	kind: Refusal['kind'],
	message: string,
	isFirstSending: boolean,
): KeyRefusal {
	return {
		refusal: createRefusal(kind, message, retryAfterMilliseconds),
		outcome: isFirstSending ? outcomes.notRun : outcomes.unknown,
	};
}

/**
 * Creates the refusal for an invalid key, which no node runs with this request.
 *
 * @param error why the key is invalid
 * @returns the refusal
 */
export function refuseInvalidKey(error: KeyError): KeyRefusal {
	return createKeyRefusal(refusalKinds.keyInvalid, error.message, outcomes.notRun);
}

function createKeyRefusal(
	kind: Refusal['kind'],
	message: string,
	outcome: Outcome,
): KeyRefusal {
	return {refusal: createRefusal(kind, message), outcome};
}
