/**
 * The home of keys: runs a keyed call at most once, whichever ingress forwards it, and stores the
 * response for later requests with the key. It owns the ledger of this incarnation.
 */
import {Buffer} from 'node:buffer';
import {
	beginClosing,
	claimKey,
	claimKinds,
	closingRowKey,
	createLedger,
	encodeClosing,
	finishClosing,
	fingerprintRequest,
	isSameHome,
	refuseClaim,
	ledgerPhases,
	markAnswered,
	markDispatched,
	markLost,
	markNotRun,
	type AddressedHome,
	type Home,
	type KeptAnswer,
	type KeyedRequest,
	type RefusedClaim,
} from '../binding/index.js';
import {
	attemptResultKinds,
	isBuffered,
	outcomes,
	refusalKinds,
	type AttemptAnswered,
	type AttemptResult,
	type CallHead,
} from '../call/index.js';
import type {RunCall} from './call-runner.js';

/** A keyed call as forwarded to the key's home. */
export type KeyedCall = {
	readonly home: Home;
	readonly keyId: string;
	/** Milliseconds of the home's wall clock. */
	readonly expiresAt: number;
	readonly head: CallHead;
	/** End-to-end headers. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};

export type KeyHome = {
	readonly home: AddressedHome;
	/** Runs a keyed call, or returns the result of an earlier call with its key. */
	readonly run: (call: KeyedCall) => Promise<AttemptResult>;
	readonly isOpen: () => boolean;
	readonly state: () => KeyHomeState;
	/** Stops accepting new keys, waits for running calls, and returns the closing row to write. */
	readonly close: () => Promise<{readonly key: string; readonly value: string}>;
};

export type KeyHomeState = {
	readonly home: Home;
	readonly phase: string;
	readonly keys: number;
	readonly running: number;
	readonly keptBytes: number;
};

type KeyHomeOptions = {
	readonly home: AddressedHome;
	readonly runCall: RunCall;
	/** Wall clock in milliseconds. */
	readonly wallClock: () => number;
};

/**
 * Creates the home with an empty ledger.
 *
 * @param options address and incarnation of this home, and the call runner
 * @returns the home
 */
export function createKeyHome(options: KeyHomeOptions): KeyHome {
	const {home, runCall, wallClock} = options;
	const ledger = createLedger();
	const running = new Map<string, Promise<AttemptResult>>();

	async function run(call: KeyedCall): Promise<AttemptResult> {
		if (!isSameHome(call.home, home)) {
			return createRefusedResult(claimKinds.closed);
		}

		const request = createKeyedRequest(call);
		const claim = claimKey(ledger, request, wallClock());
		if (claim.kind === claimKinds.run) {
			const result = runClaimed(call);
			running.set(call.keyId, result);
			return result;
		}

		if (claim.kind === claimKinds.join) {
			return waitForRunning(call.keyId);
		}

		return claim.kind === claimKinds.answered
			? toAttemptResult(claim.answer)
			: createRefusedResult(claim.kind);
	}

	async function runClaimed(call: KeyedCall): Promise<AttemptResult> {
		markDispatched(ledger, call.keyId);
		const {result} = runCall({head: call.head, headers: call.headers, body: call.body});
		const settledResult = await result;
		running.delete(call.keyId);
		recordKeyResult(call.keyId, settledResult);
		return settledResult;
	}

	function recordKeyResult(keyId: string, result: AttemptResult): void {
		if (result.kind === attemptResultKinds.answered) {
			markAnswered(ledger, keyId, toKeptAnswer(result));
		} else if (
			result.kind === attemptResultKinds.refused &&
			result.outcome === outcomes.notRun
		) {
			markNotRun(ledger, keyId);
		} else {
			markLost(ledger, keyId);
		}
	}

	/** Waits for the running call; only the request that started it gets a streamed response. */
	async function waitForRunning(keyId: string): Promise<AttemptResult> {
		const result = await running.get(keyId)!;
		return result.kind === attemptResultKinds.answered
			? toAttemptResult(toKeptAnswer(result))
			: result;
	}

	return {
		home,
		run,
		isOpen: () => ledger.phase === ledgerPhases.open,
		state: () => ({
			home,
			phase: ledger.phase,
			keys: ledger.entries.size,
			running: ledger.running,
			keptBytes: ledger.bodyBytes,
		}),
		async close() {
			beginClosing(ledger);
			for (;;) {
				const keys = finishClosing(ledger, wallClock());
				if (keys) {
					return {key: closingRowKey(home), value: encodeClosing(home, keys)};
				}

				// Each call updates the ledger before its promise resolves, so the next check sees it.
				// eslint-disable-next-line no-await-in-loop
				await Promise.all(running.values());
			}
		},
	};
}

function createKeyedRequest(call: KeyedCall): KeyedRequest {
	const {method, path, service} = call.head;
	return {
		keyId: call.keyId,
		expiresAt: call.expiresAt,
		fingerprint: fingerprintRequest({method, path, service, body: call.body}),
	};
}

function toKeptAnswer({status, headers, body}: AttemptAnswered): KeptAnswer {
	return {status, headers, body: isBuffered(body) ? body : undefined};
}

function toAttemptResult({status, headers, body}: KeptAnswer): AttemptResult {
	const {answered: kind} = attemptResultKinds;
	return body
		? {kind, status, headers, body, load: undefined}
		: createRanAnswer(
				'the request ran, but its response was too large to store: ask the service for it',
			);
}

/**
 * Creates the response for a request that ran but whose response is not available.
 *
 * @param message what happened, and the remedy
 * @returns a 409 in place of the server's response
 */
export function createRanAnswer(message: string): AttemptResult {
	const document = {kind: refusalKinds.keyHomeGone, message, outcome: outcomes.ran};
	return {
		kind: attemptResultKinds.answered,
		status: 409,
		headers: ['content-type', 'application/json'],
		body: Buffer.from(JSON.stringify(document)),
		load: undefined,
	};
}

function createRefusedResult(kind: RefusedClaim): AttemptResult {
	return {kind: attemptResultKinds.refused, ...refuseClaim(kind), load: undefined};
}
