/** Reads the result of an attempt from the response of another node's gate. */
import {Buffer} from 'node:buffer';
import {
	attemptResultKinds,
	copyEndToEndHeaders,
	createRefusal,
	findHeader,
	headerNames,
	isBuffered,
	outcomes,
	parseRefusal,
	refusalKinds,
	type AttemptResult,
	type Refusal,
} from '../call/index.js';
import {exchangeKinds, type ExchangeAnswered, type ExchangeResult} from './exchange.js';

/**
 * Reads the result of an attempt.
 *
 * @param result result of the exchange with the other node
 * @returns result of the attempt
 */
export function readPeerResult(result: ExchangeResult): AttemptResult {
	if (result.kind === exchangeKinds.lost) {
		return {kind: attemptResultKinds.lost, message: result.message};
	}

	if (result.kind !== exchangeKinds.answered) {
		return {
			kind: attemptResultKinds.refused,
			refusal: createRefusal(
				refusalKinds.noServer,
				`the node cannot be reached (${result.message}): try again shortly`,
			),
			outcome: outcomes.notRun,
			load: undefined,
		};
	}

	return readPeerResponse(result);
}

function readPeerResponse(result: ExchangeAnswered): AttemptResult {
	const load = findHeader(result.rawHeaders, headerNames.load);
	const outcome = findHeader(result.rawHeaders, headerNames.outcome);
	if (outcome === outcomes.ran) {
		return {
			kind: attemptResultKinds.answered,
			status: result.status,
			headers: copyEndToEndHeaders(result.rawHeaders),
			body: result.body,
			load,
		};
	}

	if (
		(outcome !== outcomes.notRun && outcome !== outcomes.unknown) ||
		!isBuffered(result.body)
	) {
		return {
			kind: attemptResultKinds.lost,
			message: 'the node responded without an outcome',
		};
	}

	return {
		kind: attemptResultKinds.refused,
		refusal: readRefusal(result.body),
		outcome,
		load,
	};
}

function readRefusal(body: Uint8Array): Refusal {
	return parseRefusal(Buffer.from(body).toString('utf8'));
}
