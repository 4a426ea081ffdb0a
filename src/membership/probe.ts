/**
 * Failure detection: one member is probed in each interval, directly and then through peers, so
 * that a broken path between two members does not make either suspect.
 */
import {memberStatuses, type Member} from './member.js';
import {type Address, type Body, type Rumour} from './message.js';
import {expireRelayedProbes, forwardAcknowledgement} from './indirect-probe.js';
import {pickPeers} from './roster.js';
import {sendPriorityPacket} from './send.js';
import {markSuspect} from './suspicion.js';
import {nextSequence, type EventContext} from './state.js';

/**
 * Returns the address on which a member receives datagrams.
 *
 * @param member the member
 * @returns its control address
 */
export function controlAddressOf(member: Member): Address {
	return {host: member.host, port: member.controlPort};
}

/**
 * Continues the pending probe and starts the next one when it is due.
 *
 * @param context context of the event
 */
export function advanceProbe(context: EventContext): void {
	const {state, now} = context;
	expireRelayedProbes(context);
	if (state.probe !== undefined) {
		continueProbe(context);
	}

	if (state.probe === undefined && now >= state.nextProbeAt) {
		startProbe(context);
	}
}

/**
 * Answers a ping. A sender that is suspect or dead here is told so, to let it refute.
 *
 * @param context context of the event
 * @param ping the received ping
 * @param sender id of the member that probes
 * @param from address to answer to
 */
export function answerPing(
	context: EventContext,
	ping: Extract<Body, {kind: 'ping'}>,
	sender: string,
	from: Address,
): void {
	const {nodeId} = context.state.self.member;
	if (ping.target !== nodeId) {
		return;
	}

	const {sequence} = ping;
	const answer: Body = {kind: 'acknowledgement', sequence, reached: true};
	sendPriorityPacket(context, from, answer, suspicionNoticeFor(context, sender));
}

/**
 * Handles the answer to a probe of this node, or forwards it to the peer that requested the probe.
 *
 * @param context context of the event
 * @param answer the received acknowledgement
 * @param sender id of the member that answers
 */
export function handleAcknowledgement(
	context: EventContext,
	answer: Extract<Body, {kind: 'acknowledgement'}>,
	sender: string,
): void {
	const {state} = context;
	if (forwardAcknowledgement(context, answer.sequence)) {
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
 * Returns the rumour that tells a member that it is suspect or dead here, so that it can refute.
 *
 * @param context context of the event
 * @param nodeId id of the member
 * @returns its standing when it is suspect or dead, otherwise nothing
 */
export function suspicionNoticeFor(context: EventContext, nodeId: string): Rumour[] {
	const record = context.state.roster.records.get(nodeId);
	const isAccused =
		record !== undefined &&
		(record.standing.status === memberStatuses.suspect ||
			record.standing.status === memberStatuses.dead);
	return isAccused ? [{kind: 'standing', nodeId, standing: record.standing}] : [];
}

function startProbe(context: EventContext): void {
	const {state, now} = context;
	const {parameters, roster, counters} = state;
	state.nextProbeAt = now + parameters.probeIntervalMilliseconds;
	const accusation = nextPriorityProbe(context);
	const target = accusation?.nodeId ?? nextTarget(context);
	if (target === undefined) {
		return;
	}

	const {member} = roster.records.get(target)!;
	const sequence = nextSequence(state);
	const timeoutMultiplier = 1 + state.localHealth;
	state.probe = {
		sequence,
		target,
		incarnation: member.incarnation,
		indirectAt: now + parameters.probeTimeoutMilliseconds * timeoutMultiplier,
		deadline: now + parameters.probeIntervalMilliseconds * timeoutMultiplier,
		isIndirect: false,
		hasPeerAnswer: false,
	};
	counters.probes += 1;
	const ping: Body = {kind: 'ping', sequence, target};
	const notice: Rumour[] =
		accusation === undefined ? suspicionNoticeFor(context, target) : [accusation];
	const wasSent = sendPriorityPacket(context, controlAddressOf(member), ping, notice);
	if (!wasSent) {
		// The byte budget withheld the ping, so a missing answer proves nothing.
		state.probe = undefined;
	}
}

/** Takes a member that another node reported suspect or dead; the probe carries that standing. */
function nextPriorityProbe(
	context: EventContext,
): Extract<Rumour, {kind: 'standing'}> | undefined {
	const {priorityProbes, roster} = context.state;
	for (const [nodeId, standing] of priorityProbes) {
		priorityProbes.delete(nodeId);
		if (roster.peerPositions.has(nodeId)) {
			return {kind: 'standing', nodeId, standing};
		}
	}

	return undefined;
}

/**
 * Takes the members in turn; the order is shuffled in each round. Members of other regions are
 * probed in some of the rounds only, since the nodes of their own region probe them as well.
 */
function nextTarget(context: EventContext): string | undefined {
	const {state, random} = context;
	const {peers, records} = state.roster;
	const {region} = state.self.member;
	const isSkipped = (nodeId: string): boolean =>
		records.get(nodeId)!.member.region !== region &&
		random() >= state.parameters.remoteProbeShare;
	let target = takeNextPeer(context);
	let remaining = peers.length - 1;
	while (target !== undefined && remaining > 0 && isSkipped(target)) {
		target = takeNextPeer(context);
		remaining -= 1;
	}

	return target;
}

function takeNextPeer(context: EventContext): string | undefined {
	const {state, random} = context;
	const {peers, peerPositions} = state.roster;
	if (state.probePosition >= peers.length) {
		state.probePosition = 0;
	}

	const position = state.probePosition;
	state.probePosition += 1;
	// One step of a Fisher-Yates shuffle: the target swaps places with a member not yet probed.
	const swapPosition = position + Math.floor(random() * (peers.length - position));
	const target = peers[swapPosition];
	if (target !== undefined && swapPosition !== position) {
		const displaced = peers[position]!;
		peers[position] = target;
		peers[swapPosition] = displaced;
		peerPositions.set(target, position);
		peerPositions.set(displaced, swapPosition);
	}

	return target;
}

function continueProbe(context: EventContext): void {
	const {state, now} = context;
	const probe = state.probe!;
	if (!probe.isIndirect && now >= probe.indirectAt) {
		probe.isIndirect = true;
		sendIndirectProbes(context, probe.target, probe.sequence);
	}

	if (now < probe.deadline) {
		return;
	}

	state.probe = undefined;
	state.counters.failedProbes += 1;
	// When the peers do not answer either, the fault is probably on this node.
	if (!probe.hasPeerAnswer && state.roster.peers.length > 1) {
		const {maximumLocalHealth} = state.parameters;
		state.localHealth = Math.min(maximumLocalHealth, state.localHealth + 1);
	}

	markSuspect(context, probe.target, probe.incarnation);
}

function sendIndirectProbes(
	context: EventContext,
	target: string,
	sequence: number,
): void {
	const {state, random} = context;
	const record = state.roster.records.get(target);
	if (record === undefined) {
		return;
	}

	const {host, controlPort} = record.member;
	const request: Body = {kind: 'indirectPing', sequence, target, host, controlPort};
	const count = state.parameters.indirectProbes;
	for (const peer of pickPeers(state.roster, count, random, target)) {
		state.counters.indirectProbes += 1;
		sendPriorityPacket(context, controlAddressOf(peer), request);
	}
}
