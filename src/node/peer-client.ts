/**
 * Sends attempts to the gates of other nodes over persistent HTTP connections, and reads their
 * results.
 */
import {Agent} from 'node:http';
import {
	attemptResultKinds,
	createRefusal,
	formatAttemptId,
	headerNames,
	isBuffered,
	outcomes,
	refusalKinds,
	type AttemptRequest,
	type AttemptResult,
	type RunningAttempt,
} from '../call/index.js';
import {formatHome} from '../binding/index.js';
import type {Member} from '../membership/index.js';
import {
	exchangeKinds,
	readPeerResult,
	startExchange,
	type RunningExchange,
} from '../http/index.js';
import type {KeyedCall} from './key-home.js';
import type {SendToHome} from './keyed-call.js';

export type PeerClient = {
	readonly send: (member: Member, request: AttemptRequest) => RunningAttempt;
	/** Forwards a keyed call to its home. */
	readonly sendToHome: SendToHome;
	readonly close: () => void;
};

const idleConnectionMilliseconds = 30_000;
/** The home enforces the deadline itself; the ingress waits this much longer. */
const homeGraceMilliseconds = 100;

/**
 * Creates the client of other nodes' gates.
 *
 * @param now current time, milliseconds of the monotonic clock
 * @returns the client
 */
export function createPeerClient(now: () => number): PeerClient {
	const agent = new Agent({keepAlive: true, timeout: idleConnectionMilliseconds});
	return {
		send(member, request) {
			const exchange = startExchange({
				agent,
				host: member.host,
				port: member.peerPort,
				method: request.method,
				path: request.path,
				headers: buildPeerHeaders(request, now()),
				body: request.body,
				awaitContinue: !isBuffered(request.body),
			});
			return {result: exchange.result.then(readPeerResult), cancel: exchange.cancel};
		},
		async sendToHome(home, call) {
			const exchange = startExchange({
				agent,
				host: home.host,
				port: home.port,
				method: call.head.method,
				path: call.head.path,
				headers: buildKeyHeaders(call, now()),
				body: call.body,
				awaitContinue: false,
			});
			return waitForHome(exchange, call.head.deadlineAt - now());
		},
		close() {
			agent.destroy();
		},
	};
}

function buildPeerHeaders(request: AttemptRequest, now: number): string[] {
	const remainingMilliseconds = Math.max(0, Math.round(request.deadlineAt - now));
	return [
		...request.headers,
		headerNames.attempt,
		formatAttemptId(request.id),
		headerNames.service,
		request.service,
		headerNames.rank,
		request.rank,
		headerNames.caller,
		request.caller,
		headerNames.deadline,
		String(remainingMilliseconds),
		headerNames.idempotent,
		request.idempotent ? '1' : '0',
		headerNames.retries,
		String(request.retries),
		headerNames.suspect,
		request.suspect ? '1' : '0',
	];
}

function buildKeyHeaders(call: KeyedCall, now: number): string[] {
	const {head} = call;
	const remainingMilliseconds = Math.max(0, Math.round(head.deadlineAt - now));
	return [
		...call.headers,
		headerNames.keyHome,
		formatHome(call.home),
		headerNames.keyId,
		call.keyId,
		headerNames.keyExpiry,
		String(call.expiresAt),
		headerNames.service,
		head.service,
		headerNames.rank,
		head.rank,
		headerNames.caller,
		head.caller,
		headerNames.deadline,
		String(remainingMilliseconds),
		headerNames.retries,
		String(head.retries),
	];
}

async function waitForHome(
	exchange: RunningExchange,
	remainingMilliseconds: number,
): Promise<AttemptResult | undefined> {
	const timer = setTimeout(
		exchange.cancel,
		remainingMilliseconds + homeGraceMilliseconds,
	);
	const result = await exchange.result;
	clearTimeout(timer);
	if (result.kind === exchangeKinds.unsent) {
		return undefined;
	}

	const homeResult = readPeerResult(result);
	return homeResult.kind === attemptResultKinds.lost
		? createHomeLostResult(homeResult.message)
		: homeResult;
}

function createHomeLostResult(message: string): AttemptResult {
	const remedy = 'send it again with the same Idempotency-Key to learn its result';
	return {
		kind: attemptResultKinds.refused,
		refusal: createRefusal(
			refusalKinds.serverFailed,
			`the connection to the home of the key was lost (${message}): ${remedy}`,
		),
		outcome: outcomes.unknown,
		load: undefined,
	};
}
