/**
 * What a caller is told about a keyed request that is not run by this sending. The outcome
 * speaks of the key: a key that may have run by an earlier sending is `unknown` wherever this
 * sending was stopped, unless the caller says that this is the key's first sending.
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

export type KeyRefusal = {readonly refusal: Refusal; readonly outcome: Outcome};

/** Claims that refuse the request. */
export type RefusedClaim = Exclude<ClaimKind, 'run' | 'join' | 'answered'>;

/** Ends of a binding that leave no home to run the key. */
export type UnboundResult = Exclude<BindingResult, {kind: 'bound'}>;

const retryAfterMilliseconds = 1000;

/**
 * Judges a claim that the ledger of the key's home refused.
 *
 * @param kind what the ledger said
 * @returns what the caller is told
 */
export function refuseClaim(kind: RefusedClaim): KeyRefusal {
	switch (kind) {
		case claimKinds.conflict: {
			const message =
				'the key was used with another request: take a new key for a new request';
			return verdict(refusalKinds.keyConflict, message, outcomes.notRun);
		}

		case claimKinds.unknown: {
			const message =
				'contact was lost while the request ran: ask the service whether it ran, it will not run again';
			return verdict(refusalKinds.serverFailed, message, outcomes.unknown);
		}

		case claimKinds.expired: {
			const message =
				'the key has expired: ask the service whether it ran before you take a new key';
			return verdict(refusalKinds.keyExpired, message, outcomes.unknown);
		}

		case claimKinds.full: {
			const message =
				'the home of the key has no room: send it again later, or take a key from another node';
			return verdict(refusalKinds.ledgerFull, message, outcomes.notRun);
		}

		case claimKinds.closing: {
			const message = 'the home of the key is stopping: send it again in a few seconds';
			return verdict(refusalKinds.leaving, message, outcomes.notRun);
		}

		case claimKinds.closed: {
			const message =
				'the home of the key has stopped: send it again through another node';
			return verdict(refusalKinds.keyHomeGone, message, outcomes.unknown);
		}
	}
}

/**
 * Judges a key that could not be bound to a home.
 *
 * @param result how the binding ended
 * @param isFirstSending whether the caller says that it never sent the key before
 * @returns what the caller is told
 */
export function refuseUnbound(
	result: UnboundResult,
	isFirstSending: boolean,
): KeyRefusal {
	if (result.kind === 'unavailable') {
		return refuseUndecided(
			refusalKinds.storeUnavailable,
			'the table that binds own keys does not answer: use issued keys, or send it again later',
			isFirstSending,
		);
	}

	if (result.outcome === executionOutcomes.ran) {
		const message =
			'the request ran, but the node that kept its answer has stopped: ask the service for it';
		return verdict(refusalKinds.keyHomeGone, message, outcomes.ran);
	}

	return refuseUndecided(
		refusalKinds.keyHomeGone,
		'the home of the key cannot be reached and has not told what it ran: send it again later, or ask the service whether it ran',
		isFirstSending,
	);
}

/**
 * Judges a sending that was stopped before the key's home was asked.
 *
 * @param kind what stopped it
 * @param message what happened, and the remedy
 * @param isFirstSending whether the caller says that it never sent the key before
 * @returns what the caller is told
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
 * Judges a key that no node ever runs with this request.
 *
 * @param error why the key is refused
 * @returns what the caller is told
 */
export function refuseInvalidKey(error: KeyError): KeyRefusal {
	return verdict(refusalKinds.keyInvalid, error.message, outcomes.notRun);
}

function verdict(kind: Refusal['kind'], message: string, outcome: Outcome): KeyRefusal {
	return {refusal: createRefusal(kind, message), outcome};
}
