/** What a sending of the model can do next: bind its key through the table, or reach its home. */
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

/** How the end of a home is judged; the planted mistakes differ from the product here. */
export type OutcomeRule = (
	key: EndedKey,
	closing: ClosingRecord | undefined,
	clock: number,
) => ExecutionOutcome;

export function addSendingTransitions(
	world: ModelState,
	index: number,
	judge: OutcomeRule,
	move: AddTransition,
): void {
	const sending = world.sendings[index]!;
	const ingress = findNode(world, sending.ingress);
	if (!ingress || ingress.isFrozen) {
		return;
	}

	if (sending.target) {
		const home = findNode(world, sending.target);
		if (!home?.isFrozen) {
			move(`deliver ${sending.keyId} to ${sending.target.nodeId}`, copy => {
				deliver(copy, index);
			});
		}

		return;
	}

	const step = sending.progress?.step.kind;
	move(`${step} ${sending.keyId}`, copy => {
		advance(copy, index, queryTable(copy, index), judge);
	});
	if (world.remaining.tableFaults === 0) {
		return;
	}

	for (const effect of step === 'create' || step === 'replace'
		? ['before', 'after', 'late']
		: ['before']) {
		move(`${step} ${sending.keyId} fails ${effect} its effect`, copy => {
			copy.remaining.tableFaults -= 1;
			if (effect === 'after') {
				queryTable(copy, index);
			} else if (effect === 'late') {
				copy.delayedWrites.push(findPendingWrite(copy.sendings[index]!)!);
			}

			advance(copy, index, {kind: 'failed'}, judge);
		});
	}
}

export function routeSending(world: ModelState, sending: Sending): void {
	const wanted: Binding = {
		home: {...sending.ingress, host: '10.0.0.1', port: 7002},
		nonce: `${sending.ingress.nodeId}/${sending.ingress.incarnation}/${world.remaining.sendings}`,
		expiresAt: world.clock + expiresAt,
	};
	if (sending.keyId === ownKey) {
		sending.progress = startBinding(ownKey, wanted);
	} else if (isGone(world, issuer)) {
		sending.progress = startBinding(issuedKey, wanted, {home: issuer, expiresAt});
	} else {
		sending.target = issuer;
	}
}

export function deliver(world: ModelState, index: number): void {
	const sending = world.sendings[index]!;
	const target = sending.target!;
	const home = findNode(world, target);
	if (!home) {
		handleHomeGone(world, sending, target);
		return;
	}

	const keyExpiry =
		sending.keyId === issuedKey && isSameHome(target, issuer)
			? expiresAt
			: (world.rows[sending.keyId]?.binding.expiresAt ?? expiresAt);
	const request = {keyId: sending.keyId, fingerprint: '', expiresAt: keyExpiry};
	const claim = claimKey(home.ledger, request, world.clock);
	if (claim.kind === 'closed') {
		handleHomeGone(world, sending, target);
		return;
	}

	world.sendings.splice(index, 1);
	if (claim.kind === 'run') {
		home.executions.push({keyId: sending.keyId, isDispatched: false});
	} else if (claim.kind === 'answered') {
		reportOutcome(world, sending.keyId, outcomes.ran);
	} else if (claim.kind !== 'join') {
		reportOutcome(world, sending.keyId, refuseClaim(claim.kind).outcome);
	}
}

/** The home has ended: its key may be bound anew if its summary allows. */
export function handleHomeGone(world: ModelState, sending: Sending, target: Home): void {
	if (!isSuspect(world, target)) {
		world.suspects.push(target);
	}

	sending.target = undefined;
	routeSending(world, sending);
}

export function advance(
	world: ModelState,
	index: number,
	event: BindingEvent,
	judge: OutcomeRule,
): void {
	const sending = world.sendings[index]!;
	const rules: BindingRules = {
		isGone: home => isGone(world, home),
		findOutcome: (key, closing) => judge(key, closing, world.clock),
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

	world.sendings.splice(index, 1);
	reportOutcome(world, sending.keyId, refuseUnbound(result, false).outcome);
}

export function queryTable(world: ModelState, index: number): BindingEvent {
	const sending = world.sendings[index]!;
	const write = findPendingWrite(sending);
	if (write) {
		return applyWrite(world, write)
			? {kind: 'written'}
			: {kind: 'conflict', row: world.rows[sending.keyId]};
	}

	const {step} = sending.progress!;
	if (step.kind === 'readClosing') {
		const text = world.closings[closingRowKey(step.home)];
		return {kind: 'closingRead', closing: text ? decodeClosing(text) : undefined};
	}

	return {kind: 'read', row: world.rows[sending.keyId]};
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
