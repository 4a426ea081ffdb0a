/** Probes that a member makes for another, which had no direct answer. */
import {type Address, type Body} from './message.js';
import {sendProbe} from './send.js';
import {takeSequence, type Step} from './state.js';

/**
 * Probes a member for another.
 *
 * @param step the event being decided
 * @param request what arrived
 * @param from where the answer goes
 */
export function relayPing(
	step: Step,
	request: Extract<Body, {kind: 'indirectPing'}>,
	from: Address,
): void {
	const {state, now} = step;
	const sequence = takeSequence(state);
	const deadline = now + state.parameters.probeTimeoutMilliseconds;
	state.relays.set(sequence, {origin: from, originSequence: request.sequence, deadline});
	const ping: Body = {kind: 'ping', sequence, target: request.target};
	sendProbe(step, {host: request.host, port: request.controlPort}, ping);
}

/**
 * Passes the answer to a relayed probe on to the member that asked for it.
 *
 * @param step the event being decided
 * @param sequence number of the probe that was answered
 * @returns whether it was a relayed probe
 */
export function passOnAnswer(step: Step, sequence: number): boolean {
	const {relays} = step.state;
	const relay = relays.get(sequence);
	if (relay === undefined) {
		return false;
	}

	relays.delete(sequence);
	answerRelay(step, relay.origin, relay.originSequence, true);
	return true;
}

/**
 * Tells the members that asked for probes which had no answer in time.
 *
 * @param step the event being decided
 */
export function expireRelays(step: Step): void {
	const {state, now} = step;
	for (const [sequence, relay] of state.relays) {
		if (relay.deadline > now) {
			// Relays are in the order of their deadlines.
			return;
		}

		state.relays.delete(sequence);
		answerRelay(step, relay.origin, relay.originSequence, false);
	}
}

function answerRelay(
	step: Step,
	origin: Address,
	sequence: number,
	reached: boolean,
): void {
	sendProbe(step, origin, {kind: 'acknowledgement', sequence, reached});
}
