/**
 * Failure detection: each interval one member is probed, directly and then through peers, so
 * that a path cut between two members condemns neither.
 */
import {memberStatuses, type Member} from './member.js';
import {type Address, type Body, type Rumour} from './message.js';
import {expireRelayedProbes, forwardAcknowledgement} from './indirect-probe.js';
import {pickPeers} from './roster.js';
import {sendPriorityPacket} from './send.js';
import {markSuspect} from './suspicion.js';
import {nextSequence, type EventContext} from './state.js';

/**
 * Gives the address at which a member receives datagrams.
 *
 * @param member the member
 * @returns its control address
 */
export function controlAddressOf(member: Member): Address {
	return {host: member.host, port: member.controlPort};
}

/**
 * Carries on the open probe and starts the next when its time has come.
 *
 * @param step the event being decided
 */
export function advanceProbe(step: EventContext): void {
	const {state, now} = step;
	expireRelayedProbes(step);
	if (state.probe !== undefined) {
		continueProbe(step);
	}

	if (state.probe === undefined && now >= state.nextProbeAt) {
		startProbe(step);
	}
}

/**
 * Answers a ping, and tells a member that is held to be suspect or dead so that it can refute.
 *
 * @param step the event being decided
 * @param ping what arrived
 * @param sender name of the member that probes
 * @param from where the answer goes
 */
export function answerPing(
	step: EventContext,
	ping: Extract<Body, {kind: 'ping'}>,
	sender: string,
	from: Address,
): void {
	const {nodeId} = step.state.self.member;
	if (ping.target !== nodeId) {
		return;
	}

	const {sequence} = ping;
	const answer: Body = {kind: 'acknowledgement', sequence, reached: true};
	sendPriorityPacket(step, from, answer, suspicionNoticeFor(step, sender));
}

/**
 * Takes in an answer to a probe of this node, or passes it on to the member that asked for it.
 *
 * @param step the event being decided
 * @param answer what arrived
 * @param sender name of the member that answers
 */
export function handleAcknowledgement(
	step: EventContext,
	answer: Extract<Body, {kind: 'acknowledgement'}>,
	sender: string,
): void {
	const {state} = step;
	if (forwardAcknowledgement(step, answer.sequence)) {
		return;
	}

	const {probe, leave} = state;
	if (leave?.pingSequences.has(answer.sequence)) {
		leave.acknowledgedBy.add(sender);
	}

	if (probe?.sequence !== answer.sequence) {
		return;
	}

	probe.hasPeerAnswer = true;
	if (answer.reached) {
		state.probe = undefined;
		state.localHealth = Math.max(0, state.localHealth - 1);
	}
}

/**
 * Lists what must be told to a member that is held to be suspect or dead.
 *
 * @param step the event being decided
 * @param nodeId name of the member
 * @returns its standing when it needs refuting
 */
export function suspicionNoticeFor(step: EventContext, nodeId: string): Rumour[] {
	const held = step.state.roster.records.get(nodeId);
	const isAccused =
		held !== undefined &&
		(held.standing.status === memberStatuses.suspect ||
			held.standing.status === memberStatuses.dead);
	return isAccused ? [{kind: 'standing', nodeId, standing: held.standing}] : [];
}

function startProbe(step: EventContext): void {
	const {state, now} = step;
	const {parameters, roster, counters} = state;
	state.nextProbeAt = now + parameters.probeIntervalMilliseconds;
	const doubt = nextPriorityProbe(step);
	const target = doubt?.nodeId ?? nextTarget(step);
	if (target === undefined) {
		return;
	}

	const {member} = roster.records.get(target)!;
	const sequence = nextSequence(state);
	const patience = 1 + state.localHealth;
	state.probe = {
		sequence,
		target,
		incarnation: member.incarnation,
		indirectAt: now + parameters.probeTimeoutMilliseconds * patience,
		deadline: now + parameters.probeIntervalMilliseconds * patience,
		isIndirect: false,
		hasPeerAnswer: false,
	};
	counters.probes += 1;
	const ping: Body = {kind: 'ping', sequence, target};
	const accusations: Rumour[] =
		doubt === undefined ? suspicionNoticeFor(step, target) : [doubt];
	const wasSent = sendPriorityPacket(step, controlAddressOf(member), ping, accusations);
	if (!wasSent) {
		// A probe that was never sent proves nothing.
		state.probe = undefined;
	}
}

/** Takes a member that another node holds dead; the probe tells it so. */
function nextPriorityProbe(
	step: EventContext,
): Extract<Rumour, {kind: 'standing'}> | undefined {
	const {priorityProbes: doubts, roster} = step.state;
	for (const [nodeId, standing] of doubts) {
		doubts.delete(nodeId);
		if (roster.peerPositions.has(nodeId)) {
			return {kind: 'standing', nodeId, standing};
		}
	}

	return undefined;
}

/** Takes the members in turn; each round has another order. */
function nextTarget(step: EventContext): string | undefined {
	const {state, random} = step;
	const {peers, peerPositions} = state.roster;
	if (state.probePosition >= peers.length) {
		state.probePosition = 0;
	}

	const position = state.probePosition;
	state.probePosition += 1;
	// One step of a shuffle for each probe: the target changes places with one not yet met.
	const other = position + Math.floor(random() * (peers.length - position));
	const target = peers[other];
	if (target !== undefined && other !== position) {
		const displaced = peers[position]!;
		peers[position] = target;
		peers[other] = displaced;
		peerPositions.set(target, position);
		peerPositions.set(displaced, other);
	}

	return target;
}

function continueProbe(step: EventContext): void {
	const {state, now} = step;
	const probe = state.probe!;
	if (!probe.isIndirect && now >= probe.indirectAt) {
		probe.isIndirect = true;
		sendIndirectProbes(step, probe.target, probe.sequence);
	}

	if (now < probe.deadline) {
		return;
	}

	state.probe = undefined;
	state.counters.failedProbes += 1;
	// Where not even the peers answer, the fault is likely on this side.
	if (!probe.hasPeerAnswer && state.roster.peers.length > 1) {
		const {maximumLocalHealth} = state.parameters;
		state.localHealth = Math.min(maximumLocalHealth, state.localHealth + 1);
	}

	markSuspect(step, probe.target, probe.incarnation);
}

function sendIndirectProbes(step: EventContext, target: string, sequence: number): void {
	const {state, random} = step;
	const held = state.roster.records.get(target);
	if (held === undefined) {
		return;
	}

	const {host, controlPort} = held.member;
	const request: Body = {kind: 'indirectPing', sequence, target, host, controlPort};
	const count = state.parameters.indirectProbes;
	for (const peer of pickPeers(state.roster, count, random, target)) {
		state.counters.indirectProbes += 1;
		sendPriorityPacket(step, controlAddressOf(peer), request);
	}
}
