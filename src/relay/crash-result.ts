/** What callers and other nodes are told of requests that ran at crashes. */
import {
	attemptResultKinds,
	createRefusal,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type Refusal,
} from '../call/index.js';
import {defaultCrashHistoryLimits} from '../quarantine/index.js';
import type {ReportedCrash} from './crash-quarantine.js';

/**
 * Creates the result of an attempt that ran when the server crashed.
 *
 * @param crash the crash
 * @returns the result, with the outcome `unknown`
 */
export function createCrashResult({crashId, isProof}: ReportedCrash): AttemptResult {
	const refusal = isProof
		? createRefusal(
				refusalKinds.crashProven,
				'the server crashed while this was its only request: do not send it again unchanged',
			)
		: createRefusal(
				refusalKinds.serverCrashed,
				'the server crashed while it ran this request: idempotent requests may be sent again',
			);
	return {
		kind: attemptResultKinds.refused,
		refusal: {...refusal, crashId},
		outcome: outcomes.unknown,
		load: undefined,
	};
}

/**
 * Reads the crash from the result of an attempt.
 *
 * @param result the result
 * @returns the crash; undefined if the server did not crash
 */
export function findReportedCrash(result: AttemptResult): ReportedCrash | undefined {
	if (
		result.kind !== attemptResultKinds.refused ||
		result.refusal.crashId === undefined
	) {
		return undefined;
	}

	const {crashId, kind} = result.refusal;
	return {crashId, isProof: kind === refusalKinds.crashProven};
}

/** @returns the refusal of a request that is proven to crash servers */
export function createQuarantineRefusal(): Refusal {
	return createRefusal(
		refusalKinds.quarantined,
		'this request crashed each server that ran it: change it, or try again after the stated pause',
		defaultCrashHistoryLimits.provenMilliseconds,
	);
}
