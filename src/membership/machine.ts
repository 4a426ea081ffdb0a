/**
 * The state machine of membership: one event at a time, with the present time and the source of
 * randomness as arguments. It sends nothing itself; the effects say what is to be sent and what
 * has changed.
 */
import {advanceLeave, sayFarewell, startLeave} from './leave.js';
import {type Address, type Packet, type Rumour} from './message.js';
import {expireAnnouncements, raiseVersion, takeAnnouncement} from './news.js';
import {
	accusationOf,
	addressOf,
	advanceProbe,
	answerPing,
	takeAcknowledgement,
} from './probe.js';
import {noticePause} from './pause.js';
import {forgetDeparted, pickPeers} from './roster.js';
import {sendGossip, sendProbe} from './send.js';
import {relayPing} from './relay.js';
import {updateSelf} from './self.js';
import {applyRecord, applyStanding} from './standing.js';
import {expireSuspicions} from './suspicion.js';
import {
	type MembershipEffect,
	type MembershipEvent,
	type MembershipState,
	type Step,
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
export function advance(
	state: MembershipState,
	event: MembershipEvent,
	now: number,
	random: () => number,
): readonly MembershipEffect[] {
	const step: Step = {state, now, random, effects: []};
	noticePause(step);
	decide(step, event);
	return step.effects;
}

function decide(step: Step, event: MembershipEvent): void {
	switch (event.kind) {
		case 'tick': {
			tick(step);
			break;
		}

		case 'packet': {
			takePacket(step, event.packet, event.from);
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
			takeAnnouncement(step, news, true);
			break;
		}

		case 'want': {
			want(step, event.service);
			break;
		}

		case 'leave': {
			startLeave(step);
			break;
		}

		case 'farewell': {
			sayFarewell(step);
			break;
		}
	}
}

function tick(step: Step): void {
	const {state, now} = step;
	settle(step);
	advanceProbe(step);
	expireSuspicions(step);
	advanceLeave(step);
	gossip(step);
	advanceSync(step);
	expireAnnouncements(step);
	forgetDeparted(state.roster, now - state.parameters.deadRetentionMilliseconds);
}

function takePacket(step: Step, packet: Packet, from: Address): void {
	const {state} = step;
	const {body, rumours} = packet;
	if (packet.from === state.self.member.nodeId && body.kind !== 'gossip') {
		return;
	}

	state.counters.packetsReceived += 1;
	const {refutations} = state.counters;
	for (const rumour of rumours) {
		takeRumour(step, rumour, packet);
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

	takeBody(step, packet, from);
}

function takeBody(step: Step, packet: Packet, from: Address): void {
	const {body} = packet;
	switch (body.kind) {
		case 'ping': {
			answerPing(step, body, packet.from, from);
			break;
		}

		case 'acknowledgement': {
			takeAcknowledgement(step, body, packet.from);
			break;
		}

		case 'indirectPing': {
			relayPing(step, body, from);
			break;
		}

		case 'syncRequest': {
			answerSync(step, body, packet.from, from);
			break;
		}

		case 'gossip':
		case 'syncPage': {
			const accusation = accusationOf(step, packet.from);
			if (accusation.length > 0) {
				sendProbe(step, from, {kind: 'gossip'}, accusation);
			}

			break;
		}
	}
}

function takeRumour(step: Step, rumour: Rumour, packet: Packet): void {
	const isPage = packet.body.kind === 'syncPage';
	switch (rumour.kind) {
		case 'detail': {
			const isNew = applyRecord(step, rumour.record, !isPage);
			step.state.hasLearned ||= isNew && isPage;
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
			takeAnnouncement(step, rumour, false);
			break;
		}
	}
}

/** The node may start its work once its incarnation cannot rise any more. */
function settle(step: Step): void {
	const {state, now} = step;
	if (!state.isSettled && now >= state.settleAt) {
		state.isSettled = true;
		step.effects.push({kind: 'settled'});
	}
}

function gossip(step: Step): void {
	const {state, now, random} = step;
	if (now < state.nextGossipAt || state.broadcast.entries.size === 0) {
		return;
	}

	const {gossipIntervalMilliseconds, gossipFanout} = state.parameters;
	state.nextGossipAt = now + gossipIntervalMilliseconds;
	for (const peer of pickPeers(state.roster, gossipFanout, random)) {
		sendGossip(step, addressOf(peer));
	}
}

/** Asks at once for the members of a service that calls begin to use. */
function want(step: Step, service: string): void {
	const {state, random} = step;
	if (state.wantedServices.has(service)) {
		return;
	}

	state.wantedServices.add(service);
	const [peer] = pickPeers(state.roster, 1, random);
	if (peer !== undefined) {
		requestSync(step, addressOf(peer), false);
	}
}
