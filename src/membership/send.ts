/** Sends packets: each is charged to the byte budget and filled up with queued rumours. */
import {dequeueRumours} from './rumour-queue.js';
import {refillBudget, spendBytes} from './budget.js';
import {datagramOverheadBytes, encodePacket, maximumDatagramBytes} from './codec.js';
import {type Address, type Body, type Rumour} from './message.js';
import {countTransmissions} from './parameters.js';
import {type EventContext, type MembershipState} from './state.js';

/**
 * Sends a probe, an answer to one, or a notice of a suspicion or a stop. It may use the whole
 * budget, including the reserve for such packets; piggybacked rumours may not use the reserve. Every
 * such packet states the versions and proofs of the topics that were raised last, so that a member that missed the rumour
 * of one learns of it with its next probe, not only with its next sync.
 *
 * @param context context of the event
 * @param address destination
 * @param body request or answer
 * @param rumours rumours that the packet must carry
 * @returns whether it was sent
 */
export function sendPriorityPacket(
	context: EventContext,
	address: Address,
	body: Body,
	rumours: readonly Rumour[] = [],
): boolean {
	const {state} = context;
	const from = state.self.member.nodeId;
	const required = [...rumours, ...listRecentVersions(state)];
	const bare = encodePacket({from, body, rumours: required});
	const piggybacked = dequeuePiggybackedRumours(context, bare.length);
	const bytes =
		piggybacked.length > 0
			? encodePacket({from, body, rumours: [...required, ...piggybacked]})
			: bare;
	return sendBytes(context, address, bytes, state.budget.tokens);
}

/**
 * Sends a packet from the budget above the probe reserve.
 *
 * @param context context of the event
 * @param address destination
 * @param body request or answer
 * @param rumours rumours that the packet carries
 * @returns whether it was sent
 */
export function sendPacket(
	context: EventContext,
	address: Address,
	body: Body,
	rumours: readonly Rumour[],
): boolean {
	const from = context.state.self.member.nodeId;
	const bytes = encodePacket({from, body, rumours});
	return sendBytes(context, address, bytes, availableBytes(context));
}

/**
 * Sends queued rumours in a packet of their own, from the budget above the probe reserve.
 *
 * @param context context of the event
 * @param address destination
 * @returns whether rumours were queued and sent
 */
export function sendGossip(context: EventContext, address: Address): boolean {
	const from = context.state.self.member.nodeId;
	const body: Body = {kind: 'gossip'};
	const bare = encodePacket({from, body, rumours: []});
	const rumours = dequeuePiggybackedRumours(context, bare.length);
	if (rumours.length === 0) {
		return false;
	}

	return sendPacket(context, address, body, rumours);
}

/**
 * Computes the bytes that may be sent now without using the probe reserve.
 *
 * @param context context of the event
 * @returns bytes; negative while the reserve is partly used
 */
export function availableBytes(context: EventContext): number {
	const {budget, parameters} = context.state;
	refillBudget(budget, context.now);
	return budget.tokens - parameters.probeReserveBytes;
}

/** Lists the versions and proofs that changed last; a sync repairs what was missed of the others. */
function listRecentVersions(state: MembershipState): Rumour[] {
	const {topics, proofs, recentTopics, recentProofs} = state;
	const rumours: Rumour[] = [];
	for (const topic of recentTopics) {
		rumours.push({kind: 'version', topic, version: topics.get(topic)!});
	}

	for (const topic of recentProofs) {
		rumours.push({kind: 'proof', topic, ...proofs.get(topic)!});
	}

	return rumours;
}

/** Takes the queued rumours that fit beside `bareBytes` without using the reserves. */
function dequeuePiggybackedRumours(context: EventContext, bareBytes: number): Rumour[] {
	const {rumourQueue, parameters, roster} = context.state;
	const reserved = parameters.syncReserveBytes + datagramOverheadBytes;
	const available = availableBytes(context) - reserved;
	const bytes = Math.min(maximumDatagramBytes, available) - bareBytes;
	if (bytes <= 0 || rumourQueue.entries.size === 0) {
		return [];
	}

	const transmissions = countTransmissions(
		parameters.extraTransmissions,
		roster.records.size,
	);
	return dequeueRumours(rumourQueue, {bytes, names: new Set()}, transmissions);
}

function sendBytes(
	context: EventContext,
	address: Address,
	bytes: Uint8Array,
	limit: number,
): boolean {
	const {budget, counters} = context.state;
	const cost = bytes.length + datagramOverheadBytes;
	if (cost > limit || !spendBytes(budget, cost)) {
		counters.packetsWithheld += 1;
		return false;
	}

	counters.packetsSent += 1;
	context.effects.push({kind: 'send', address, bytes});
	return true;
}
