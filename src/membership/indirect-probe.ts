/** Probes that a member makes for another, which had no direct answer. */
import {type Address, type Body} from './message.js';
import {sendPriorityPacket} from './send.js';
import {nextSequence, type EventContext} from './state.js';

/**
 * Probes a member for another.
 *
 * @param step the event being decided
 * @param request what arrived
 * @param from where the answer goes
 */
export function probeForPeer(
	step: EventContext,
	request: Extract<Body, {kind: 'indirectPing'}>,
	from: Address,
): void {
	const {state, now} = step;
	const sequence = nextSequence(state);
	const deadline = now + state.parameters.probeTimeoutMilliseconds;
	state.relayedProbes.set(sequence, {
		requester: from,
		requesterSequence: request.sequence,
		deadline,
	});
	const ping: Body = {kind: 'ping', sequence, target: request.target};
	sendPriorityPacket(step, {host: request.host, port: request.controlPort}, ping);
}

/**
 * Passes the answer to a relayed probe on to the member that asked for it.
 *
 * @param step the event being decided
 * @param sequence number of the probe that was answered
 * @returns whether it was a relayed probe
 */
export function forwardAcknowledgement(step: EventContext, sequence: number): boolean {
	const {relayedProbes: relays} = step.state;
	const relay = relays.get(sequence);
	if (relay === undefined) {
		return false;
	}

	relays.delete(sequence);
	reportProbeResult(step, relay.requester, relay.requesterSequence, true);
	return true;
}

/**
 * Tells the members that asked for probes which had no answer in time.
 *
 * @param step the event being decided
 */
export function expireRelayedProbes(step: EventContext): void {
	const {state, now} = step;
	for (const [sequence, relay] of state.relayedProbes) {
		if (relay.deadline > now) {
			// Relays are in the order of their deadlines.
			return;
		}

		state.relayedProbes.delete(sequence);
		reportProbeResult(step, relay.requester, relay.requesterSequence, false);
	}
}

function reportProbeResult(
	step: EventContext,
	origin: Address,
	sequence: number,
	reached: boolean,
): void {
	sendPriorityPacket(step, origin, {kind: 'acknowledgement', sequence, reached});
}
