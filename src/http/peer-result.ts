/** Reads what another node's gate answered to an attempt that was sent to it. */
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
 * @param result what became of the exchange with the other node
 * @returns what became of the attempt
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
				`the node takes no connection (${result.message}): try again shortly`,
			),
			outcome: outcomes.notRun,
			load: undefined,
		};
	}

	return readPeerAnswer(result);
}

function readPeerAnswer(result: ExchangeAnswered): AttemptResult {
	const load = findHeader(result.rawHeaders, headerNames.load);
	const outcome = findHeader(result.rawHeaders, headerNames.outcome);
	if (outcome === outcomes.ran) {
		return {
			kind: attemptResultKinds.answered,
			status: result.status,
			headers: copyEndToEndHeaders(result.rawHeaders),
			body: result.body,
			isCloseDelimited: result.isCloseDelimited,
			load,
		};
	}

	if (
		(outcome !== outcomes.notRun && outcome !== outcomes.unknown) ||
		!isBuffered(result.body)
	) {
		return {
			kind: attemptResultKinds.lost,
			message: 'the node answered without an outcome',
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
