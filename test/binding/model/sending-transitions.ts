/** Transitions of a sending: bind its key through the table, or reach its home. */
import {
	advanceBinding,
	claimKey,
	closingRowKey,
	decodeClosing,
	isSameHome,
	refuseClaim,
	refuseUnbound,
	startBinding,
	type Binding,
	type BindingEvent,
	type BindingRules,
	type ClosingRecord,
	type EndedKey,
	type ExecutionOutcome,
	type Home,
} from '../../../src/binding/index.js';
import {outcomes} from '../../../src/call/index.js';
import {
	type Sending,
	type Write,
	type ModelState,
	ownKey,
	issuedKey,
	issuer,
	expiresAt,
	findNode,
	isSuspect,
	isGone,
	applyWrite,
	reportOutcome,
} from './state.js';
import {type AddTransition} from './node-transitions.js';

/** Finds the outcome of a key at a terminated home; the deliberate faults replace it. */
export type OutcomeRule = (
	key: EndedKey,
	closing: ClosingRecord | undefined,
	clock: number,
) => ExecutionOutcome;

export function addSendingTransitions(
	state: ModelState,
	index: number,
	outcomeRule: OutcomeRule,
	addTransition: AddTransition,
): void {
	const sending = state.sendings[index]!;
	const ingress = findNode(state, sending.ingress);
	if (!ingress || ingress.isFrozen) {
		return;
	}

	if (sending.target) {
		const home = findNode(state, sending.target);
		if (!home?.isFrozen) {
			addTransition(`deliver ${sending.keyId} to ${sending.target.nodeId}`, copy => {
				deliver(copy, index);
			});
		}

		return;
	}

	const step = sending.progress?.step.kind;
	addTransition(`${step} ${sending.keyId}`, copy => {
		advance(copy, index, queryTable(copy, index), outcomeRule);
	});
	if (state.remaining.tableFaults === 0) {
		return;
	}

	for (const effect of step === 'create' || step === 'replace'
		? ['before', 'after', 'late']
		: ['before']) {
		addTransition(`${step} ${sending.keyId} fails ${effect} its effect`, copy => {
			copy.remaining.tableFaults -= 1;
			if (effect === 'after') {
				queryTable(copy, index);
			} else if (effect === 'late') {
				copy.delayedWrites.push(findPendingWrite(copy.sendings[index]!)!);
			}

			advance(copy, index, {kind: 'failed'}, outcomeRule);
		});
	}
}

export function routeSending(state: ModelState, sending: Sending): void {
	const proposed: Binding = {
		home: {...sending.ingress, host: '10.0.0.1', port: 7002},
		nonce: `${sending.ingress.nodeId}/${sending.ingress.incarnation}/${state.remaining.sendings}`,
		expiresAt: state.clock + expiresAt,
	};
	if (sending.keyId === ownKey) {
		sending.progress = startBinding(ownKey, proposed);
	} else if (isGone(state, issuer)) {
		sending.progress = startBinding(issuedKey, proposed, {home: issuer, expiresAt});
	} else {
		sending.target = issuer;
	}
}

export function deliver(state: ModelState, index: number): void {
	const sending = state.sendings[index]!;
	const target = sending.target!;
	const home = findNode(state, target);
	if (!home) {
		handleHomeGone(state, sending, target);
		return;
	}

	const keyExpiry =
		sending.keyId === issuedKey && isSameHome(target, issuer)
			? expiresAt
			: (state.rows[sending.keyId]?.binding.expiresAt ?? expiresAt);
	const request = {keyId: sending.keyId, fingerprint: '', expiresAt: keyExpiry};
	const claim = claimKey(home.ledger, request, state.clock);
	if (claim.kind === 'closed') {
		handleHomeGone(state, sending, target);
		return;
	}

	state.sendings.splice(index, 1);
	if (claim.kind === 'run') {
		home.executions.push({keyId: sending.keyId, isDispatched: false});
	} else if (claim.kind === 'answered') {
		reportOutcome(state, sending.keyId, outcomes.ran);
	} else if (claim.kind !== 'join') {
		reportOutcome(state, sending.keyId, refuseClaim(claim.kind).outcome);
	}
}

/** The home has terminated: its key may be bound again if the closing summary allows it. */
export function handleHomeGone(state: ModelState, sending: Sending, target: Home): void {
	if (!isSuspect(state, target)) {
		state.suspects.push(target);
	}

	sending.target = undefined;
	routeSending(state, sending);
}

export function advance(
	state: ModelState,
	index: number,
	event: BindingEvent,
	outcomeRule: OutcomeRule,
): void {
	const sending = state.sendings[index]!;
	const rules: BindingRules = {
		isGone: home => isGone(state, home),
		findOutcome: (key, closing) => outcomeRule(key, closing, state.clock),
	};
	sending.progress = advanceBinding(sending.progress!, event, rules);
	if (sending.progress.step.kind !== 'done') {
		return;
	}

	const {result} = sending.progress.step;
	if (result.kind === 'bound') {
		sending.progress = undefined;
		sending.target = result.home;
		return;
	}

	state.sendings.splice(index, 1);
	reportOutcome(state, sending.keyId, refuseUnbound(result, false).outcome);
}

export function queryTable(state: ModelState, index: number): BindingEvent {
	const sending = state.sendings[index]!;
	const write = findPendingWrite(sending);
	if (write) {
		return applyWrite(state, write)
			? {kind: 'written'}
			: {kind: 'conflict', row: state.rows[sending.keyId]};
	}

	const {step} = sending.progress!;
	if (step.kind === 'readClosing') {
		const text = state.closings[closingRowKey(step.home)];
		return {kind: 'closingRead', closing: text ? decodeClosing(text) : undefined};
	}

	return {kind: 'read', row: state.rows[sending.keyId]};
}

export function findPendingWrite({keyId, progress}: Sending): Write | undefined {
	const step = progress?.step;
	if (step?.kind === 'create') {
		return {keyId, binding: step.binding};
	}

	return step?.kind === 'replace'
		? {keyId, binding: step.binding, version: step.version}
		: undefined;
}
