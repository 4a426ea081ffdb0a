/**
 * Classifies how a request at the server ended. A response counts only if it is sealed and for this request. Only the
 * server's own declaration, or a connection that was never made, proves that a request did not run.
 */
import {
	attemptResultKinds,
	copyEndToEndHeaders,
	createRefusal,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type RefusalKind,
} from '../call/index.js';
import type {ExchangeAnswered} from '../http/index.js';
import type {RelayCall} from './call.js';
import type {ServerNotice, ServerResponseMetadata} from './platform-protocol.js';

const firstFailureStatus = 500;

/** How a request at the server ended. */
export const serverResultKinds = {
	answered: 'answered',
	/** The server responded with an error status. */
	failed: 'failed',
	/** The server declared that it did not run the request. */
	shed: 'shed',
	/** The server accepts no connections, or another server has its address. */
	unreachable: 'unreachable',
	/** The connection broke, or the response is unsealed or for another request. */
	lost: 'lost',
} as const;

export type ServerResultKind = (typeof serverResultKinds)[keyof typeof serverResultKinds];

/** Result of a request at the server. */
export type ServerResult = {
	readonly kind: ServerResultKind;
	readonly result: AttemptResult;
	/** Undefined without a response. */
	readonly metadata: ServerResponseMetadata | undefined;
	/** What the server states about itself; undefined without a response of this server. */
	readonly notice: ServerNotice | undefined;
	/** For the log. */
	readonly reason: string;
};

/**
 * Finds why a response must not be returned for a request.
 *
 * @param response the response
 * @param metadata what the server states in it
 * @param call the request
 * @returns the reason; undefined if it may be returned
 */
export function findResponseFault(
	response: ExchangeAnswered,
	metadata: ServerResponseMetadata,
	call: RelayCall,
): string | undefined {
	// On a connection that carried requests before, a server may write an earlier response once more.
	const isForThis =
		metadata.requestId === undefined
			? !response.isReused
			: metadata.requestId === call.requestId;
	if (!isForThis) {
		return 'the response is for another request';
	}

	if (metadata.declaredNotRun || metadata.isOtherServer) {
		return undefined;
	}

	const isSuccess = response.status >= 200 && response.status < 300;
	return isSuccess && !metadata.sealed
		? 'a success response without the seal'
		: undefined;
}

/**
 * Classifies a response that may be returned.
 *
 * @param response the response
 * @param metadata what the server states in it
 * @returns how the request ended
 */
export function classifyResponse(
	response: ExchangeAnswered,
	metadata: ServerResponseMetadata,
): ServerResult {
	if (metadata.isOtherServer) {
		const reason = 'another server has the address';
		const result = createNotRunResult(
			refusalKinds.noServer,
			`${reason}: try again shortly`,
		);
		return {
			kind: serverResultKinds.unreachable,
			result,
			metadata,
			notice: undefined,
			reason,
		};
	}

	if (metadata.declaredNotRun) {
		const reason = `the server shed the request with status ${response.status}`;
		const result = createNotRunResult(
			refusalKinds.serverFailed,
			`${reason}: try again shortly`,
		);
		return {kind: serverResultKinds.shed, result, metadata, notice: metadata, reason};
	}

	const hasFailed = response.status >= firstFailureStatus;
	return {
		kind: hasFailed ? serverResultKinds.failed : serverResultKinds.answered,
		result: {
			kind: attemptResultKinds.answered,
			status: response.status,
			headers: copyEndToEndHeaders(response.rawHeaders),
			body: response.body,
			load: undefined,
		},
		metadata,
		notice: metadata,
		reason: `status ${response.status}`,
	};
}

/**
 * Creates the result of a request that was not sent, since no connection was made.
 *
 * @param reason why, for the log
 * @returns the result: not run
 */
export function createUnreachableResult(reason: string): ServerResult {
	const text = `the server accepts no connections (${reason}): try again shortly`;
	return {
		kind: serverResultKinds.unreachable,
		result: createNotRunResult(refusalKinds.noServer, text),
		metadata: undefined,
		notice: undefined,
		reason,
	};
}

/**
 * Creates the result of a request that may have run, but whose response is not to be used.
 *
 * @param reason why, for the log
 * @param metadata what the server states in the response, if there is one
 * @returns the result: not known
 */
export function createLostResult(
	reason: string,
	metadata?: ServerResponseMetadata,
): ServerResult {
	return {
		kind: serverResultKinds.lost,
		result: {kind: attemptResultKinds.lost, message: reason},
		metadata,
		notice: undefined,
		reason,
	};
}

function createNotRunResult(kind: RefusalKind, message: string): AttemptResult {
	return {
		kind: attemptResultKinds.refused,
		refusal: createRefusal(kind, message),
		outcome: outcomes.notRun,
		load: undefined,
	};
}
