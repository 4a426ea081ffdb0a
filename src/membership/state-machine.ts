/**
 * The state machine of membership: one event at a time, with the present time and the source of
 * randomness as arguments. It sends nothing itself; the effects say what is to be sent and what
 * has changed.
 */
import {advanceLeave, sendFarewell, startLeave} from './leave.js';
import {type Address, type Packet, type Rumour} from './message.js';
import {
	expireAnnouncements,
	raiseVersion,
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
 * Decides one event.
 *
 * @param state the state, updated in place
 * @param event what happened
 * @param now present time in monotonic milliseconds
 * @param random source of numbers from 0 to below 1
 * @returns what is to be sent and what has changed, in order
 */
export function applyEvent(
	state: MembershipState,
	event: MembershipEvent,
	now: number,
	random: () => number,
): readonly MembershipEffect[] {
	const step: EventContext = {state, now, random, effects: []};
	detectPause(step);
	dispatchEvent(step, event);
	return step.effects;
}

function dispatchEvent(step: EventContext, event: MembershipEvent): void {
	switch (event.kind) {
		case 'tick': {
			handleTick(step);
			break;
		}

		case 'packet': {
			handlePacket(step, event.packet, event.from);
			break;
		}

		case 'seeds': {
			step.state.seeds = event.seeds;
			break;
		}

		case 'updateSelf': {
			updateSelf(step, event.patch);
			break;
		}

		case 'publishVersion': {
			raiseVersion(step, event.topic, event.version);
			break;
		}

		case 'announce': {
			const {id, payload, lifetimeMilliseconds: remainingMilliseconds} = event;
			const news = {kind: 'announcement', id, payload, remainingMilliseconds} as const;
			addAnnouncement(step, news, true);
			break;
		}

		case 'want': {
			addWantedService(step, event.service);
			break;
		}

		case 'leave': {
			startLeave(step);
			break;
		}

		case 'farewell': {
			sendFarewell(step);
			break;
		}
	}
}

function handleTick(step: EventContext): void {
	const {state, now} = step;
	settleWhenDue(step);
	advanceProbe(step);
	expireSuspicions(step);
	advanceLeave(step);
	gossipWhenDue(step);
	advanceSync(step);
	expireAnnouncements(step);
	removeExpiredDead(state.roster, now - state.parameters.deadRetentionMilliseconds);
}

function handlePacket(step: EventContext, packet: Packet, from: Address): void {
	const {state} = step;
	const {body, rumours} = packet;
	if (packet.from === state.self.member.nodeId && body.kind !== 'gossip') {
		return;
	}

	state.counters.packetsReceived += 1;
	const {refutations} = state.counters;
	for (const rumour of rumours) {
		applyRumour(step, rumour, packet);
	}

	if (state.counters.refutations > refutations) {
		// The accuser may be beyond the reach of this node's gossip. The refutation is the newest
		// rumour, so it is among those that ride along.
		sendGossip(step, from);
	}

	if (!state.isSettled) {
		const {settleMilliseconds} = state.parameters;
		state.settleAt = Math.min(state.settleAt, step.now + settleMilliseconds);
	}

	handleBody(step, packet, from);
}

function handleBody(step: EventContext, packet: Packet, from: Address): void {
	const {body} = packet;
	switch (body.kind) {
		case 'ping': {
			answerPing(step, body, packet.from, from);
			break;
		}

		case 'acknowledgement': {
			handleAcknowledgement(step, body, packet.from);
			break;
		}

		case 'indirectPing': {
			probeForPeer(step, body, from);
			break;
		}

		case 'syncRequest': {
			answerSync(step, body, packet.from, from);
			break;
		}

		case 'gossip':
		case 'syncPage': {
			const accusation = suspicionNoticeFor(step, packet.from);
			if (accusation.length > 0) {
				sendPriorityPacket(step, from, {kind: 'gossip'}, accusation);
			}

			break;
		}
	}
}

function applyRumour(step: EventContext, rumour: Rumour, packet: Packet): void {
	const isPage = packet.body.kind === 'syncPage';
	switch (rumour.kind) {
		case 'detail': {
			const isNew = applyRecord(step, rumour.record, !isPage);
			step.state.hasSyncedNewRecords ||= isNew && isPage;
			break;
		}

		case 'standing': {
			applyStanding(step, rumour.nodeId, rumour.standing);
			break;
		}

		case 'version': {
			raiseVersion(step, rumour.topic, rumour.version, packet.from);
			break;
		}

		case 'announcement': {
			addAnnouncement(step, rumour, false);
			break;
		}
	}
}

/** The node may start its work once its incarnation cannot rise any more. */
function settleWhenDue(step: EventContext): void {
	const {state, now} = step;
	if (!state.isSettled && now >= state.settleAt) {
		state.isSettled = true;
		step.effects.push({kind: 'settled'});
	}
}

function gossipWhenDue(step: EventContext): void {
	const {state, now, random} = step;
	if (now < state.nextGossipAt || state.rumourQueue.entries.size === 0) {
		return;
	}

	const {gossipIntervalMilliseconds, gossipFanout} = state.parameters;
	state.nextGossipAt = now + gossipIntervalMilliseconds;
	for (const peer of pickPeers(state.roster, gossipFanout, random)) {
		sendGossip(step, controlAddressOf(peer));
	}
}

/** Asks at once for the members of a service that calls begin to use. */
function addWantedService(step: EventContext, service: string): void {
	const {state, random} = step;
	if (state.wantedServices.has(service)) {
		return;
	}

	state.wantedServices.add(service);
	const [peer] = pickPeers(state.roster, 1, random);
	if (peer !== undefined) {
		requestSync(step, controlAddressOf(peer), false);
	}
}
