/**
 * State machine of membership. It handles one event at a time, with the current time and the
 * random source as arguments, and does no I/O: the returned effects are the datagrams to send and
 * the changes to report.
 */
import {advanceLeave, sendFarewell, startLeave} from './leave.js';
import {type Address, type Packet, type Rumour} from './message.js';
import {
	expireAnnouncements,
	raiseVersion,
	renewProof,
	addAnnouncement,
} from './versions-and-announcements.js';
import {
	suspicionNoticeFor,
	controlAddressOf,
	advanceProbe,
	answerPing,
	handleAcknowledgement,
} from './probe.js';
import {detectPause} from './pause.js';
import {computeGossipShares, listNearPeers, pickNearPeers} from './near-peers.js';
import {removeExpiredDead, pickPeers} from './roster.js';
import {sendGossip, sendPriorityPacket} from './send.js';
import {probeForPeer} from './indirect-probe.js';
import {updateSelf} from './self.js';
import {applyRecord, applyStanding} from './incoming-records.js';
import {expireSuspicions} from './suspicion.js';
import {
	type MembershipEffect,
	type MembershipEvent,
	type MembershipState,
	type EventContext,
} from './state.js';
import {advanceSync, answerSync, requestSync} from './sync.js';

/**
 * Applies one event to the state.
 *
 * @param state the state, updated in place
 * @param event the event
 * @param now current time in monotonic milliseconds
 * @param random source of random numbers in [0, 1)
 * @returns the effects, in order
 */
export function applyEvent(
	state: MembershipState,
	event: MembershipEvent,
	now: number,
	random: () => number,
): readonly MembershipEffect[] {
	const context: EventContext = {state, now, random, effects: []};
	detectPause(context);
	dispatchEvent(context, event);
	return context.effects;
}

function dispatchEvent(context: EventContext, event: MembershipEvent): void {
	switch (event.kind) {
		case 'tick': {
			handleTick(context);
			break;
		}

		case 'packet': {
			handlePacket(context, event.packet, event.from);
			break;
		}

		case 'seeds': {
			context.state.seeds = event.seeds;
			break;
		}

		case 'updateSelf': {
			updateSelf(context, event.patch);
			break;
		}

		case 'publishVersion': {
			raiseVersion(context, event.topic, event.version);
			break;
		}

		case 'publishProof': {
			renewProof(context, event.topic, event.proof, true);
			break;
		}

		case 'announce': {
			const {id, payload, lifetimeMilliseconds: remainingMilliseconds} = event;
			const announcement = {
				kind: 'announcement',
				id,
				payload,
				remainingMilliseconds,
			} as const;
			addAnnouncement(context, announcement, true);
			break;
		}

		case 'want': {
			addWantedService(context, event.service);
			break;
		}

		case 'leave': {
			startLeave(context);
			break;
		}

		case 'farewell': {
			sendFarewell(context);
			break;
		}
	}
}

function handleTick(context: EventContext): void {
	const {state, now} = context;
	settleWhenDue(context);
	advanceProbe(context);
	expireSuspicions(context);
	advanceLeave(context);
	gossipWhenDue(context);
	advanceSync(context);
	expireAnnouncements(context);
	removeExpiredDead(state.roster, now - state.parameters.deadRetentionMilliseconds);
}

function handlePacket(context: EventContext, packet: Packet, from: Address): void {
	const {state} = context;
	const {body, rumours} = packet;
	if (packet.from === state.self.member.nodeId && body.kind !== 'gossip') {
		return;
	}

	state.counters.packetsReceived += 1;
	state.lastPacketAt = context.now;
	const {refutations: refutationsBefore} = state.counters;
	for (const rumour of rumours) {
		applyRumour(context, rumour, packet);
	}

	if (state.counters.refutations > refutationsBefore) {
		// This node's gossip may not reach the sender of the claim, so answer it directly. The
		// refutation is the newest rumour and is therefore part of the packet.
		sendGossip(context, from);
	}

	if (!state.isSettled) {
		const {settleMilliseconds} = state.parameters;
		state.settleAt = Math.min(state.settleAt, context.now + settleMilliseconds);
	}

	handleBody(context, packet, from);
}

function handleBody(context: EventContext, packet: Packet, from: Address): void {
	const {body} = packet;
	switch (body.kind) {
		case 'ping': {
			answerPing(context, body, packet.from, from);
			break;
		}

		case 'acknowledgement': {
			handleAcknowledgement(context, body, packet.from);
			break;
		}

		case 'indirectPing': {
			probeForPeer(context, body, from);
			break;
		}

		case 'syncRequest': {
			answerSync(context, body, packet.from, from);
			break;
		}

		case 'gossip':
		case 'syncPage': {
			const notice = suspicionNoticeFor(context, packet.from);
			if (notice.length > 0) {
				sendPriorityPacket(context, from, {kind: 'gossip'}, notice);
			}

			break;
		}
	}
}

function applyRumour(context: EventContext, rumour: Rumour, packet: Packet): void {
	const isSyncPage = packet.body.kind === 'syncPage';
	switch (rumour.kind) {
		case 'detail': {
			const isNew = applyRecord(context, rumour.record, !isSyncPage);
			context.state.hasSyncedNewRecords ||= isNew && isSyncPage;
			break;
		}

		case 'standing': {
			applyStanding(context, rumour.nodeId, rumour.standing);
			break;
		}

		case 'version': {
			raiseVersion(context, rumour.topic, rumour.version, packet.from);
			break;
		}

		case 'proof': {
			renewProof(context, rumour.topic, rumour, false);
			break;
		}

		case 'announcement': {
			addAnnouncement(context, rumour, false);
			break;
		}
	}
}

/** Lets the node start serving once its incarnation is final. */
function settleWhenDue(context: EventContext): void {
	const {state, now} = context;
	if (!state.isSettled && now >= state.settleAt) {
		state.isSettled = true;
		context.effects.push({kind: 'settled'});
	}
}

function gossipWhenDue(context: EventContext): void {
	const {state, now, random} = context;
	if (now < state.nextGossipAt || state.rumourQueue.entries.size === 0) {
		return;
	}

	const {gossipIntervalMilliseconds, gossipFanout} = state.parameters;
	state.nextGossipAt = now + gossipIntervalMilliseconds;
	const {roster, self} = state;
	const peers = listNearPeers(roster, self.member);
	const shares = computeGossipShares(peers);
	for (const nodeId of pickNearPeers(peers, shares, gossipFanout, random)) {
		sendGossip(context, controlAddressOf(roster.records.get(nodeId)!.member));
	}
}

/** Requests the members of a service on its first use. */
function addWantedService(context: EventContext, service: string): void {
	const {state, random} = context;
	if (state.wantedServices.has(service)) {
		return;
	}

	state.wantedServices.add(service);
	const [peer] = pickPeers(state.roster, 1, random);
	if (peer !== undefined) {
		requestSync(context, controlAddressOf(peer), false);
	}
}
