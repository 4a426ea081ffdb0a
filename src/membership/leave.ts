/** Leaving: the news is sent to peers at once, and counts as spread when enough have answered. */
import {memberStatuses} from './member.js';
import {type Body, type Rumour} from './message.js';
import {controlAddressOf} from './probe.js';
import {pickPeers} from './roster.js';
import {sendPriorityPacket} from './send.js';
import {updateSelf} from './self.js';
import {nextSequence, type EventContext} from './state.js';

/**
 * Starts the leave of this node.
 *
 * @param step the event being decided
 */
export function startLeave(step: EventContext): void {
	const {state, now} = step;
	if (state.leave !== undefined) {
		return;
	}

	const deadline = now + state.parameters.leaveTimeoutMilliseconds;
	state.leave = {
		deadline,
		pingSequences: new Set(),
		acknowledgedBy: new Set(),
		isDone: false,
	};
	updateSelf(step, {status: memberStatuses.leaving});
	advanceLeave(step);
}

/**
 * Tells more peers of the leave until enough have answered or its time is over.
 *
 * @param step the event being decided
 */
export function advanceLeave(step: EventContext): void {
	const {state, now, random} = step;
	const {leave, roster, parameters} = state;
	if (leave === undefined || leave.isDone) {
		return;
	}

	const wanted = Math.min(parameters.leavePeers, roster.peers.length);
	if (leave.acknowledgedBy.size >= wanted || now >= leave.deadline) {
		leave.isDone = true;
		step.effects.push({kind: 'leaveSpread'});
		return;
	}

	for (const peer of pickPeers(roster, wanted, random)) {
		if (leave.acknowledgedBy.has(peer.nodeId)) {
			continue;
		}

		const sequence = nextSequence(state);
		leave.pingSequences.add(sequence);
		const ping: Body = {kind: 'ping', sequence, target: peer.nodeId};
		sendPriorityPacket(step, controlAddressOf(peer), ping, [
			{kind: 'detail', record: state.self},
		]);
	}
}

/**
 * Tells peers that this node stops now, so that no probe has to find out.
 *
 * @param step the event being decided
 */
export function sendFarewell(step: EventContext): void {
	const {state, random} = step;
	const {nodeId} = state.self.member;
	const {incarnation, revision} = state.self.standing;
	const standing = {incarnation, revision: revision + 1, status: memberStatuses.dead};
	const farewell: Rumour = {kind: 'standing', nodeId, standing};
	for (const peer of pickPeers(state.roster, state.parameters.leavePeers, random)) {
		sendPriorityPacket(step, controlAddressOf(peer), {kind: 'gossip'}, [farewell]);
	}
}
