/**
 * How a gate speaks with its server: the headers that it sends, and what it makes of the
 * server's answers and failures.
 */
import {
	attemptResultKinds,
	copyEndToEndHeaders,
	createRefusal,
	headerNames,
	isBuffered,
	outcomes,
	refusalKinds,
	type AttemptRequest,
	type AttemptResult,
	type Refusal,
} from '../call/index.js';
import {
	exchangeKinds,
	type ExchangeAnswered,
	type ExchangeFailed,
} from '../http/index.js';

/**
 * @param service name of the service
 * @returns the refusal of a gate that has no server of it
 */
export function createNoLocalServerRefusal(service: string): Refusal {
	return createRefusal(
		refusalKinds.noServer,
		`no server of ${service} is announced at this node: try again shortly`,
	);
}

/**
 * Lists the headers of a request to the server: the caller's, and what the server may pass on
 * down its own chain of calls.
 *
 * @param request the attempt
 * @param now present time, milliseconds of the monotonic clock
 * @returns names and values in turn
 */
export function buildServerHeaders(request: AttemptRequest, now: number): string[] {
	const remaining = Math.max(0, Math.round(request.deadlineAt - now));
	return [
		...request.headers,
		headerNames.deadline,
		String(remaining),
		headerNames.rank,
		request.rank,
		headerNames.caller,
		request.caller,
		headerNames.retries,
		String(request.retries),
	];
}

/**
 * Describes an exchange with the server that failed.
 *
 * @param result what is known of the failure
 * @param load the gate's load header
 * @returns the result of the attempt
 */
export function createServerFailureResult(
	result: ExchangeFailed,
	load: string,
): AttemptResult {
	if (result.kind === exchangeKinds.lost) {
		return {kind: attemptResultKinds.lost, message: result.message};
	}

	return {
		kind: attemptResultKinds.refused,
		refusal: createRefusal(
			refusalKinds.serverFailed,
			`the server takes no connection (${result.message}): try again shortly`,
		),
		outcome: outcomes.notRun,
		load,
	};
}

/**
 * Reads the server's answer. A server that sheds a request says so by the outcome header.
 *
 * @param result the answer as received
 * @param shed whether the server declared that it did not run the request
 * @param load the gate's load header
 * @returns the result of the attempt
 */
export function readServerResponse(
	result: ExchangeAnswered,
	shed: boolean,
	load: string,
): AttemptResult {
	if (!shed) {
		return {
			kind: attemptResultKinds.answered,
			status: result.status,
			headers: copyEndToEndHeaders(result.rawHeaders),
			body: result.body,
			load,
		};
	}

	if (!isBuffered(result.body)) {
		result.body.destroy();
	}

	return {
		kind: attemptResultKinds.refused,
		refusal: createRefusal(
			refusalKinds.overloaded,
			'the server shed the request: try again shortly',
		),
		outcome: outcomes.notRun,
		load,
	};
}

/**
 * Describes the crash of a server while it ran a request.
 *
 * @param alone whether the request ran alone, which proves that it crashed the server
 * @param load the gate's load header
 * @returns the result of the attempt
 */
export function createCrashResult(alone: boolean, load: string): AttemptResult {
	const refusal = alone
		? createRefusal(
				refusalKinds.crashProven,
				'the server crashed while it ran this request alone: do not send it again unchanged',
			)
		: createRefusal(
				refusalKinds.serverCrashed,
				'the server crashed while it ran this request among others: idempotent requests may be sent again',
			);
	return {kind: attemptResultKinds.refused, refusal, outcome: outcomes.unknown, load};
}
