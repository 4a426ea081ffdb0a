/**
 * Join and anti-entropy. A request carries a digest for each bucket of members; what differs is
 * sent in answer, page by page, inside the byte budget. Services that a node calls go first.
 */
import {Buffer} from 'node:buffer';
import {type Address, type Body, type Rumour} from './message.js';
import {
	digestVersionsAndAnnouncements,
	listVersionsAndAnnouncements,
} from './versions-and-announcements.js';
import {suspicionNoticeFor, controlAddressOf} from './probe.js';
import {pickPeers} from './roster.js';
import {sendPacket, sendPriorityPacket} from './send.js';
import {nextSequence, type EventContext} from './state.js';
import {
	collectNodeIds,
	listDifferingBuckets,
	queueSyncJob,
	sendPages,
} from './sync-pages.js';

const maximumServicesBytes = 300;
const seedsAskedAtOnce = 3;
const frequentReconnectAttempts = 4;
const introducedMembers = 16;

/**
 * Asks a peer for what differs when the time has come, and tries a seed or a dead member now
 * and then so that a healed cut is noticed.
 *
 * @param step the event being decided
 */
export function advanceSync(step: EventContext): void {
	const {state, now} = step;
	sendPages(step);
	if (now >= state.nextReconnectAt) {
		reconnect(step);
	}

	if (now < state.nextSyncAt) {
		return;
	}

	const isJoining = state.hasSyncedNewRecords || state.roster.peers.length === 0;
	state.hasSyncedNewRecords = false;
	const {joinIntervalMilliseconds, syncIntervalMilliseconds} = state.parameters;
	state.nextSyncAt =
		now + (isJoining ? joinIntervalMilliseconds : syncIntervalMilliseconds);
	syncWithPeerOrSeeds(step);
}

/**
 * Asks an address for what differs.
 *
 * @param step the event being decided
 * @param address whom to ask
 * @param isReply whether this answers a request
 */
export function requestSync(
	step: EventContext,
	address: Address,
	isReply: boolean,
): void {
	const {state} = step;
	const isAlone = state.roster.peers.length === 0;
	const body: Body = {
		kind: 'syncRequest',
		digests: isAlone ? [] : [...state.roster.digests],
		services: listWantedServices(state.wantedServices),
		isReply,
		newsDigest: digestVersionsAndAnnouncements(step),
	};
	sendPacket(step, address, body, [{kind: 'detail', record: state.self}]);
}

/**
 * Queues the answer to a sync request, and asks back once so that both sides learn.
 *
 * @param step the event being decided
 * @param request what arrived
 * @param sender name of the member that asks
 * @param from where the answer goes
 */
export function answerSync(
	step: EventContext,
	request: Extract<Body, {kind: 'syncRequest'}>,
	sender: string,
	from: Address,
): void {
	const isAlone = request.digests.length === 0;
	sendIntroduction(step, isAlone ? introducedMembers : 0, sender, from);
	const differing = isAlone ? [] : listDifferingBuckets(step, request.digests);
	const hasNews = request.newsDigest !== digestVersionsAndAnnouncements(step);
	queueSyncJob(step, {
		address: from,
		rumours: hasNews ? listVersionsAndAnnouncements(step) : [],
		nodeIds: collectNodeIds(step, request.services, differing),
	});
	if (!request.isReply && !isAlone && (hasNews || differing.length > 0)) {
		requestSync(step, from, true);
	}

	sendPages(step);
}

/**
 * Tells who this node is and what it holds against the sender. A node that knows nobody is told
 * of some members, so that not all that join turn to the same seed.
 */
function sendIntroduction(
	step: EventContext,
	count: number,
	sender: string,
	from: Address,
): void {
	const {roster, self} = step.state;
	const rumours: Rumour[] = [
		{kind: 'detail', record: self},
		...suspicionNoticeFor(step, sender),
	];
	for (const {nodeId} of pickPeers(roster, count, step.random, sender)) {
		rumours.push({kind: 'detail', record: roster.records.get(nodeId)!});
	}

	sendPacket(step, from, {kind: 'syncPage'}, rumours);
}

function syncWithPeerOrSeeds(step: EventContext): void {
	const {state, random} = step;
	const [peer] = pickPeers(state.roster, 1, random);
	if (peer !== undefined) {
		requestSync(step, controlAddressOf(peer), false);
		return;
	}

	for (const seed of pickSeeds(step, seedsAskedAtOnce)) {
		requestSync(step, seed, false);
	}
}

/** Pings a dead member with its verdict, so that it refutes if it lives; and asks a seed. */
function reconnect(step: EventContext): void {
	const {state, random} = step;
	const dead = [...state.roster.deadSince.keys()];
	const chosen = dead[Math.floor(random() * dead.length)];
	if (chosen !== undefined) {
		const {member} = state.roster.records.get(chosen)!;
		const ping: Body = {kind: 'ping', sequence: nextSequence(state), target: chosen};
		sendPriorityPacket(
			step,
			controlAddressOf(member),
			ping,
			suspicionNoticeFor(step, chosen),
		);
	}

	const {joinIntervalMilliseconds, reconnectIntervalMilliseconds} = state.parameters;
	// Nodes that start together may first meet in separate groups, so a young node asks more
	// seeds, and more often.
	const isYoung = state.reconnectAttempts < frequentReconnectAttempts;
	const isAlone = state.roster.peers.length === 0;
	const wanted = isYoung ? seedsAskedAtOnce : 1;
	for (const seed of pickSeeds(step, isAlone ? 0 : wanted)) {
		requestSync(step, seed, false);
	}

	const grown = joinIntervalMilliseconds * 2 ** Math.min(state.reconnectAttempts, 16);
	state.nextReconnectAt = step.now + Math.min(reconnectIntervalMilliseconds, grown);
	state.reconnectAttempts += 1;
}

function pickSeeds(step: EventContext, count: number): Address[] {
	const {seeds} = step.state;
	const start = Math.floor(step.random() * seeds.length);
	return [...seeds.slice(start), ...seeds.slice(0, start)].slice(0, count);
}

function listWantedServices(wanted: ReadonlySet<string>): string[] {
	const services: string[] = [];
	let bytes = 0;
	for (const service of wanted) {
		bytes += Buffer.byteLength(service) + 2;
		if (bytes > maximumServicesBytes) {
			break;
		}

		services.push(service);
	}

	return services;
}
