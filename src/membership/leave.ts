/** Leaving: peers are notified at once; the leave is complete once enough have acknowledged it. */
import {memberStatuses} from './member.js';
import {type Body, type Rumour} from './message.js';
import {controlAddressOf} from './probe.js';
import {pickPeers} from './roster.js';
import {sendPriorityPacket} from './send.js';
import {updateSelf} from './self.js';
import {nextSequence, type EventContext} from './state.js';

/**
 * Starts leaving the mesh.
 *
 * @param context context of the event
 */
export function startLeave(context: EventContext): void {
	const {state, now} = context;
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
	updateSelf(context, {status: memberStatuses.leaving});
	advanceLeave(context);
}

/**
 * Notifies further peers of the leave until enough have acknowledged it or its deadline has passed.
 *
 * @param context context of the event
 */
export function advanceLeave(context: EventContext): void {
	const {state, now, random} = context;
	const {leave, roster, parameters} = state;
	if (leave === undefined || leave.isDone) {
		return;
	}

	const requiredCount = Math.min(parameters.leavePeers, roster.peers.length);
	if (leave.acknowledgedBy.size >= requiredCount || now >= leave.deadline) {
		leave.isDone = true;
		context.effects.push({kind: 'leaveSpread'});
		return;
	}

	for (const peer of pickPeers(roster, requiredCount, random)) {
		if (leave.acknowledgedBy.has(peer.nodeId)) {
			continue;
		}

		const sequence = nextSequence(state);
		leave.pingSequences.add(sequence);
		const ping: Body = {kind: 'ping', sequence, target: peer.nodeId};
		sendPriorityPacket(context, controlAddressOf(peer), ping, [
			{kind: 'detail', record: state.self},
		]);
	}
}

/**
 * Tells peers that this node stops now, so that they need not detect it by probes.
 *
 * @param context context of the event
 */
export function sendFarewell(context: EventContext): void {
	const {state, random} = context;
	const {nodeId} = state.self.member;
	const {incarnation, revision} = state.self.standing;
	const standing = {incarnation, revision: revision + 1, status: memberStatuses.dead};
	const farewell: Rumour = {kind: 'standing', nodeId, standing};
	for (const peer of pickPeers(state.roster, state.parameters.leavePeers, random)) {
		sendPriorityPacket(context, controlAddressOf(peer), {kind: 'gossip'}, [farewell]);
	}
}
