/** Indirect probes: this node probes a member for a peer that got no direct answer. */
import {type Address, type Body} from './message.js';
import {sendPriorityPacket} from './send.js';
import {nextSequence, type EventContext} from './state.js';

/**
 * Probes a member on request of a peer.
 *
 * @param context context of the event
 * @param request the received request
 * @param from address to answer to
 */
export function probeForPeer(
	context: EventContext,
	request: Extract<Body, {kind: 'indirectPing'}>,
	from: Address,
): void {
	const {state, now} = context;
	const sequence = nextSequence(state);
	const deadline = now + state.parameters.probeTimeoutMilliseconds;
	state.relayedProbes.set(sequence, {
		requester: from,
		requesterSequence: request.sequence,
		deadline,
	});
	const ping: Body = {kind: 'ping', sequence, target: request.target};
	sendPriorityPacket(context, {host: request.host, port: request.controlPort}, ping);
}

/**
 * Forwards the answer to a relayed probe to the peer that requested it.
 *
 * @param context context of the event
 * @param sequence sequence number of the answered probe
 * @returns whether it was a relayed probe
 */
export function forwardAcknowledgement(context: EventContext, sequence: number): boolean {
	const {relayedProbes} = context.state;
	const probe = relayedProbes.get(sequence);
	if (probe === undefined) {
		return false;
	}

	relayedProbes.delete(sequence);
	reportProbeResult(context, probe.requester, probe.requesterSequence, true);
	return true;
}

/**
 * Reports relayed probes that were not answered in time to the peers that requested them.
 *
 * @param context context of the event
 */
export function expireRelayedProbes(context: EventContext): void {
	const {state, now} = context;
	for (const [sequence, probe] of state.relayedProbes) {
		if (probe.deadline > now) {
			// The map is ordered by deadline.
			return;
		}

		state.relayedProbes.delete(sequence);
		reportProbeResult(context, probe.requester, probe.requesterSequence, false);
	}
}

function reportProbeResult(
	context: EventContext,
	requester: Address,
	sequence: number,
	reached: boolean,
): void {
	sendPriorityPacket(context, requester, {kind: 'acknowledgement', sequence, reached});
}
