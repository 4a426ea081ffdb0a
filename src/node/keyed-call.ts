/**
 * Keyed (non-idempotent) calls at the ingress: finds the home of the key and forwards the call to
 * it. A call runs only after the home has claimed its key in the ledger.
 */
import {createHash} from 'node:crypto';
import {
	checkScope,
	formatHome,
	isSameHome,
	refuseInvalidKey,
	refuseUnbound,
	refuseUndecided,
	hasIssuedKeyPrefix,
	verifyIssuedKey,
	routeKey,
	keyRoutes,
	type EndedHome,
	type AddressedHome,
	type Home,
	type IssuedKey,
	type KeySecrets,
	type KeyRefusal,
} from '../binding/index.js';
import {
	attemptResultKinds,
	createRefusal,
	isBuffered,
	outcomes,
	refusalKinds,
	type AttemptResult,
	type CallHead,
	type Refusal,
} from '../call/index.js';
import type {CallRequest} from './call-state.js';
import type {BindResult, KeyBinder} from './key-binding.js';
import {createRanAnswer, type KeyedCall, type KeyHome} from './key-home.js';

type KeyedCallsOptions = {
	readonly keyHome: KeyHome;
	readonly secrets: KeySecrets;
	/** Absent if the node has no table. */
	readonly binder: KeyBinder | undefined;
	readonly endedHomes: EndedHomes;
	readonly sendToHome: SendToHome;
};

/** Forwards a call to a home at another node; `undefined` if it accepts no connection. */
export type SendToHome = (
	home: AddressedHome,
	call: KeyedCall,
) => Promise<AttemptResult | undefined>;

/** Homes that are known to have terminated. */
export type EndedHomes = {
	readonly add: (home: Home) => void;
	readonly has: (home: Home) => boolean;
};

/** Runs a keyed call. */
export type RunKeyedCall = (request: CallRequest) => Promise<AttemptResult>;

type AddressedCall = KeyedCall & {readonly home: AddressedHome};
type BufferedCallRequest = CallRequest & {readonly body: Uint8Array};

const maximumEndedHomes = 4096;
const maximumBindingRounds = 3;

/**
 * Creates a bounded set of terminated homes. A home that was evicted is detected again on the next
 * request.
 *
 * @returns the set
 */
export function createEndedHomes(): EndedHomes {
	const names = new Set<string>();
	return {
		add(home) {
			if (names.size >= maximumEndedHomes) {
				names.clear();
			}

			names.add(formatHome(home));
		},
		has: home => names.has(formatHome(home)),
	};
}

/**
 * Creates the runner of keyed calls at the ingress.
 *
 * @param options the node's own home, and how other homes are reached
 * @returns a function that runs a keyed call
 */
export function createKeyedCalls(options: KeyedCallsOptions): RunKeyedCall {
	const {keyHome, endedHomes} = options;

	async function run(request: CallRequest): Promise<AttemptResult> {
		const {head, body} = request;
		if (head.key === undefined) {
			return createRefusedResult(
				refusalKinds.keyMissing,
				'send an Idempotency-Key with this method',
			);
		}

		if (!isBuffered(body)) {
			const message =
				'a request with an idempotency key needs a small body with a Content-Length: upload large data first and refer to it';
			return createRefusedResult(refusalKinds.bodyTooLarge, message);
		}

		return hasIssuedKeyPrefix(head.key)
			? runIssued({...request, body}, head.key)
			: runBound({...request, body}, deriveOwnKeyId(head, head.key));
	}

	async function runIssued(
		request: BufferedCallRequest,
		text: string,
	): Promise<AttemptResult> {
		const scope = {service: request.head.service, team: ''};
		const key = verifyIssuedKey(text, options.secrets).andThen(read =>
			checkScope(read, scope),
		);
		if (key.isErr()) {
			return toResult(refuseInvalidKey(key.error));
		}

		const {id, home, expiresAt} = key.value;
		const result = await runAtHome({...request, keyId: id, home, expiresAt});
		return result ?? runBound(request, id, key.value);
	}

	/** Binds the key again as long as the home named by the table has terminated or is unreachable. */
	async function runBound(
		request: BufferedCallRequest,
		keyId: string,
		issued?: IssuedKey,
	): Promise<AttemptResult> {
		const {isFirstSending} = request.head;
		const unreachable: Home[] = issued ? [issued.home] : [];
		for (let round = 0; round < maximumBindingRounds; round += 1) {
			// Each round depends on the result of the previous one.
			// eslint-disable-next-line no-await-in-loop
			const bound = await bind(keyId, unreachable, issued);
			if (bound.kind !== 'bound') {
				return toResult(createBindingRefusal(bound, isFirstSending));
			}

			const {home, expiresAt} = bound;
			// eslint-disable-next-line no-await-in-loop
			const result = await runAtHome({...request, keyId, home, expiresAt});
			if (result) {
				return result;
			}

			unreachable.push(home);
		}

		return toResult(refuseUnbound({kind: 'unavailable'}, isFirstSending));
	}

	async function bind(
		keyId: string,
		unreachable: readonly Home[],
		ended?: EndedHome,
	): Promise<BindResult> {
		if (!options.binder || !keyHome.isOpen()) {
			return {kind: 'unavailable'};
		}

		const isGone = (home: Home): boolean =>
			endedHomes.has(home) || unreachable.some(other => isSameHome(home, other));
		return options.binder.bind(keyId, isGone, ended);
	}

	/** Runs the call at a home; `undefined` if that home has terminated or is unreachable. */
	async function runAtHome(call: AddressedCall): Promise<AttemptResult | undefined> {
		const route = routeKey(call.home, keyHome.home);
		if (route === keyRoutes.local) {
			return recordTermination(call.home, await keyHome.run(call));
		}

		return route === keyRoutes.remote && !endedHomes.has(call.home)
			? recordTermination(call.home, await options.sendToHome(call.home, call))
			: undefined;
	}

	/** Returns `undefined` if the home reports its own termination, and does not ask it again. */
	function recordTermination(
		home: Home,
		result: AttemptResult | undefined,
	): AttemptResult | undefined {
		if (result && reportsTermination(result)) {
			endedHomes.add(home);
			return undefined;
		}

		return result;
	}

	return run;
}

function reportsTermination(result: AttemptResult): boolean {
	return (
		result.kind === attemptResultKinds.refused &&
		result.refusal.kind === refusalKinds.keyHomeGone
	);
}

/** A key chosen by the caller identifies one request per service, whoever sends it. */
function deriveOwnKeyId(head: CallHead, key: string): string {
	const name = JSON.stringify([head.service, key]);
	return `own.${createHash('sha256').update(name).digest('base64url')}`;
}

function createBindingRefusal(
	result: Exclude<BindResult, {kind: 'bound'}>,
	isFirstSending: boolean,
): KeyRefusal {
	if (result.kind !== 'overBudget') {
		return refuseUnbound(result, isFirstSending);
	}

	const message =
		'too many caller-chosen keys at this node: use issued keys, or send it again later';
	const undecided = refuseUndecided(refusalKinds.overloaded, message, isFirstSending);
	const {retryAfterMilliseconds} = result;
	return {...undecided, refusal: {...undecided.refusal, retryAfterMilliseconds}};
}

function toResult({refusal, outcome}: KeyRefusal): AttemptResult {
	return outcome === outcomes.ran
		? createRanAnswer(refusal.message)
		: {kind: attemptResultKinds.refused, refusal, outcome, load: undefined};
}

function createRefusedResult(kind: Refusal['kind'], message: string): AttemptResult {
	return toResult({refusal: createRefusal(kind, message), outcome: outcomes.notRun});
}
