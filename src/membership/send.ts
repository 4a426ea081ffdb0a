/** Sending: every datagram is paid from the byte budget and filled up with rumours. */
import {dequeueRumours} from './rumour-queue.js';
import {refillBudget, spendBytes} from './budget.js';
import {datagramOverheadBytes, encodePacket, maximumDatagramBytes} from './codec.js';
import {type Address, type Body, type Rumour} from './message.js';
import {countTransmissions} from './parameters.js';
import {type EventContext} from './state.js';

/**
 * Sends a probe or an answer to one when the budget allows it, with as much news as fits above
 * the reserve that is kept for such packets.
 *
 * @param step the event being decided
 * @param address where to
 * @param body what is asked or answered
 * @param rumours news that the packet must carry
 * @returns whether it was sent
 */
export function sendPriorityPacket(
	step: EventContext,
	address: Address,
	body: Body,
	rumours: readonly Rumour[] = [],
): boolean {
	const {state} = step;
	const from = state.self.member.nodeId;
	const bare = encodePacket({from, body, rumours});
	const news = dequeuePiggybackedRumours(step, bare.length);
	const bytes =
		news.length > 0 ? encodePacket({from, body, rumours: [...rumours, ...news]}) : bare;
	return sendBytes(step, address, bytes, state.budget.tokens);
}

/**
 * Sends a packet from what is left above the reserve for probes.
 *
 * @param step the event being decided
 * @param address where to
 * @param body what is asked or answered
 * @param rumours news that the packet carries
 * @returns whether it was sent
 */
export function sendPacket(
	step: EventContext,
	address: Address,
	body: Body,
	rumours: readonly Rumour[],
): boolean {
	const from = step.state.self.member.nodeId;
	const bytes = encodePacket({from, body, rumours});
	return sendBytes(step, address, bytes, availableBytes(step));
}

/**
 * Sends queued news alone, from what is left above the reserve for probes.
 *
 * @param step the event being decided
 * @param address where to
 * @returns whether there was news and it was sent
 */
export function sendGossip(step: EventContext, address: Address): boolean {
	const from = step.state.self.member.nodeId;
	const body: Body = {kind: 'gossip'};
	const bare = encodePacket({from, body, rumours: []});
	const rumours = dequeuePiggybackedRumours(step, bare.length);
	if (rumours.length === 0) {
		return false;
	}

	return sendPacket(step, address, body, rumours);
}

/**
 * Gives the bytes that may be sent now without touching the reserve for probes.
 *
 * @param step the event being decided
 * @returns bytes; negative when the reserve is in use
 */
export function availableBytes(step: EventContext): number {
	const {budget, parameters} = step.state;
	refillBudget(budget, step.now);
	return budget.tokens - parameters.probeReserveBytes;
}

/** Takes the queued rumours that fit beside `bareBytes` without touching the reserve. */
function dequeuePiggybackedRumours(step: EventContext, bareBytes: number): Rumour[] {
	const {rumourQueue: broadcast, parameters, roster} = step.state;
	const kept = parameters.syncReserveBytes + datagramOverheadBytes;
	const available = availableBytes(step) - kept;
	const bytes = Math.min(maximumDatagramBytes, available) - bareBytes;
	if (bytes <= 0 || broadcast.entries.size === 0) {
		return [];
	}

	const transmissions = countTransmissions(
		parameters.extraTransmissions,
		roster.records.size,
	);
	return dequeueRumours(broadcast, {bytes, names: new Set()}, transmissions);
}

function sendBytes(
	step: EventContext,
	address: Address,
	bytes: Uint8Array,
	limit: number,
): boolean {
	const {budget, counters} = step.state;
	const cost = bytes.length + datagramOverheadBytes;
	if (cost > limit || !spendBytes(budget, cost)) {
		counters.packetsWithheld += 1;
		return false;
	}

	counters.packetsSent += 1;
	step.effects.push({kind: 'send', address, bytes});
	return true;
}
