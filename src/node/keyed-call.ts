/**
 * A call that must not repeat, at its ingress: finds the home of its key and brings the call
 * there. Nothing is run here that the home has not claimed in its ledger.
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
	/** Absent without a table. */
	readonly binder: KeyBinder | undefined;
	readonly endedHomes: EndedHomes;
	readonly sendToHome: SendToHome;
};

/** Brings a call to the home at another node; nothing when it takes no connection. */
export type SendToHome = (
	home: AddressedHome,
	call: KeyedCall,
) => Promise<AttemptResult | undefined>;

/** Homes that are known to have ended. */
export type EndedHomes = {
	readonly add: (home: Home) => void;
	readonly has: (home: Home) => boolean;
};

/** Runs a keyed call. */
export type RunKeyedCall = (request: CallRequest) => Promise<AttemptResult>;

type AddressedCall = KeyedCall & {readonly home: AddressedHome};
type Request = CallRequest & {readonly body: Uint8Array};

const endedHomesLimit = 4096;
const mostHomes = 3;

/**
 * Creates a bounded memory of homes that have ended. One that is forgotten is only found out
 * again.
 *
 * @returns the memory
 */
export function createEndedHomes(): EndedHomes {
	const names = new Set<string>();
	return {
		add(home) {
			if (names.size >= endedHomesLimit) {
				names.clear();
			}

			names.add(formatHome(home));
		},
		has: home => names.has(formatHome(home)),
	};
}

/**
 * Creates the ingress's part of keyed calls.
 *
 * @param options the node's own home, and the way to the others
 * @returns a function that runs a keyed call
 */
export function createKeyedCalls(options: KeyedCallsOptions): RunKeyedCall {
	const {keyHome, endedHomes} = options;

	async function run(request: CallRequest): Promise<AttemptResult> {
		const {head, body} = request;
		if (head.key === undefined) {
			return refuse(refusalKinds.keyMissing, 'send an Idempotency-Key with this method');
		}

		if (!isBuffered(body)) {
			const message =
				'a request that must not repeat has a small body of stated length: upload first, then refer to it';
			return refuse(refusalKinds.bodyTooLarge, message);
		}

		return hasIssuedKeyPrefix(head.key)
			? runIssued({...request, body}, head.key)
			: runBound({...request, body}, nameOwnKey(head, head.key));
	}

	async function runIssued(request: Request, text: string): Promise<AttemptResult> {
		const scope = {service: request.head.service, team: ''};
		const key = verifyIssuedKey(text, options.secrets).andThen(read =>
			checkScope(read, scope),
		);
		if (key.isErr()) {
			return toResult(refuseInvalidKey(key.error));
		}

		const {id, home, expiresAt} = key.value;
		const result = await bring({...request, keyId: id, home, expiresAt});
		return result ?? runBound(request, id, key.value);
	}

	/** Goes from home to home while each that the table names cannot be asked. */
	async function runBound(
		request: Request,
		keyId: string,
		issued?: IssuedKey,
	): Promise<AttemptResult> {
		const {isFirstSending} = request.head;
		const gone: Home[] = issued ? [issued.home] : [];
		for (let homes = 0; homes < mostHomes; homes += 1) {
			// Each try depends on what the one before found out.
			// eslint-disable-next-line no-await-in-loop
			const bound = await bind(keyId, gone, issued);
			if (bound.kind !== 'bound') {
				return toResult(judgeBinding(bound, isFirstSending));
			}

			const {home, expiresAt} = bound;
			// eslint-disable-next-line no-await-in-loop
			const result = await bring({...request, keyId, home, expiresAt});
			if (result) {
				return result;
			}

			gone.push(home);
		}

		return toResult(refuseUnbound({kind: 'unavailable'}, isFirstSending));
	}

	async function bind(
		keyId: string,
		gone: readonly Home[],
		ended?: EndedHome,
	): Promise<BindResult> {
		if (!options.binder || !keyHome.isOpen()) {
			return {kind: 'unavailable'};
		}

		const isGone = (home: Home): boolean =>
			endedHomes.has(home) || gone.some(other => isSameHome(home, other));
		return options.binder.bind(keyId, isGone, ended);
	}

	/** Brings the call to a home; nothing when that home cannot be asked. */
	async function bring(call: AddressedCall): Promise<AttemptResult | undefined> {
		const route = routeKey(call.home, keyHome.home);
		if (route === keyRoutes.local) {
			return refuseGone(call.home, await keyHome.run(call));
		}

		return route === keyRoutes.remote && !endedHomes.has(call.home)
			? refuseGone(call.home, await options.sendToHome(call.home, call))
			: undefined;
	}

	/** A home that says itself that it has ended is not asked again. */
	function refuseGone(
		home: Home,
		result: AttemptResult | undefined,
	): AttemptResult | undefined {
		if (result && isGone(result)) {
			endedHomes.add(home);
			return undefined;
		}

		return result;
	}

	return run;
}

function isGone(result: AttemptResult): boolean {
	return (
		result.kind === attemptResultKinds.refused &&
		result.refusal.kind === refusalKinds.keyHomeGone
	);
}

/** One own key stands for one request of its service, whoever sends it. */
function nameOwnKey(head: CallHead, key: string): string {
	const name = JSON.stringify([head.service, key]);
	return `own.${createHash('sha256').update(name).digest('base64url')}`;
}

function judgeBinding(
	result: Exclude<BindResult, {kind: 'bound'}>,
	isFirst: boolean,
): KeyRefusal {
	if (result.kind !== 'overBudget') {
		return refuseUnbound(result, isFirst);
	}

	const message =
		'too many own keys at this node: use issued keys, or send it again later';
	const verdict = refuseUndecided(refusalKinds.overloaded, message, isFirst);
	const {retryAfterMilliseconds} = result;
	return {...verdict, refusal: {...verdict.refusal, retryAfterMilliseconds}};
}

function toResult({refusal, outcome}: KeyRefusal): AttemptResult {
	return outcome === outcomes.ran
		? createRanAnswer(refusal.message)
		: {kind: attemptResultKinds.refused, refusal, outcome, load: undefined};
}

function refuse(kind: Refusal['kind'], message: string): AttemptResult {
	return toResult({refusal: createRefusal(kind, message), outcome: outcomes.notRun});
}
