/**
 * The exchange between a gate and its server: the request headers, and the attempt results made
 * from the server's responses and failures.
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
 * @returns the refusal when no server of it is announced at this node
 */
export function createNoLocalServerRefusal(service: string): Refusal {
	return createRefusal(
		refusalKinds.noServer,
		`no server of ${service} is announced at this node: try again shortly`,
	);
}

/**
 * Builds the headers of a request to the server: the caller's headers, and the metadata that the
 * server may pass on to the calls that it makes itself.
 *
 * @param request the attempt
 * @param now current time, milliseconds of the monotonic clock
 * @returns alternating names and values
 */
export function buildServerHeaders(request: AttemptRequest, now: number): string[] {
	const remainingMilliseconds = Math.max(0, Math.round(request.deadlineAt - now));
	return [
		...request.headers,
		headerNames.deadline,
		String(remainingMilliseconds),
		headerNames.rank,
		request.rank,
		headerNames.caller,
		request.caller,
		headerNames.retries,
		String(request.retries),
	];
}

/**
 * Creates the result of an attempt whose exchange with the server failed.
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
			`the server accepts no connection (${result.message}): try again shortly`,
		),
		outcome: outcomes.notRun,
		load,
	};
}

/**
 * Creates the result of an attempt from the server's response. A server that sheds a request
 * says so in the outcome header.
 *
 * @param result the response as received
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
 * Creates the result of an attempt whose server crashed.
 *
 * @param alone whether it was the only request in flight, which proves that it caused the crash
 * @param load the gate's load header
 * @returns the result of the attempt
 */
export function createCrashResult(alone: boolean, load: string): AttemptResult {
	const refusal = alone
		? createRefusal(
				refusalKinds.crashProven,
				'the server crashed while this was its only request: do not send it again unchanged',
			)
		: createRefusal(
				refusalKinds.serverCrashed,
				'the server crashed while it ran this request and others: idempotent requests may be sent again',
			);
	return {kind: attemptResultKinds.refused, refusal, outcome: outcomes.unknown, load};
}
