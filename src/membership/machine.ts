/**
 * The state machine of membership: one event at a time, with the present time and the source of
 * randomness as arguments. It sends nothing itself; the effects say what is to be sent and what
 * has changed.
 */
import {advanceLeave, sayFarewell, startLeave} from './leave.js';
import {type Address, type Packet, type Rumour} from './message.js';
import {expireAnnouncements, raiseVersion, takeAnnouncement} from './news.js';
import {
	addressOf,
	advanceProbe,
	answerPing,
	relayPing,
	takeAcknowledgement,
} from './probe.js';
import {forgetDeparted, pickPeers} from './roster.js';
import {sendGossip} from './send.js';
import {
	applyRecord,
	applyStanding,
	expireSuspicions,
	suspicionDeadline,
	updateSelf,
} from './standing.js';
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
	for (const rumour of rumours) {
		takeRumour(step, rumour, packet);
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

/**
 * A process that was paused has heard nothing meanwhile: its silence is no proof against its
 * peers. Open probes are dropped, suspicions start anew, and peers are asked what they hold,
 * so that this node learns of its own death and refutes it.
 */
function noticePause(step: Step): void {
	const {state, now, random} = step;
	const gap = now - state.lastEventAt;
	state.lastEventAt = now;
	if (gap < state.parameters.pauseThresholdMilliseconds) {
		return;
	}

	state.counters.pauses += 1;
	state.probe = undefined;
	state.relays.clear();
	state.nextProbeAt = now + state.parameters.probeIntervalMilliseconds;
	state.localHealth = Math.min(
		state.parameters.maximumLocalHealth,
		state.localHealth + 1,
	);
	for (const suspicion of state.suspicions.values()) {
		suspicion.deadline = suspicionDeadline(step);
	}

	for (const peer of pickPeers(state.roster, state.parameters.gossipFanout, random)) {
		requestSync(step, addressOf(peer), false);
	}
}
