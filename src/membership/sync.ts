/**
 * Join and anti-entropy. A request carries a digest for each bucket of members; the answer sends
 * differing buckets page by page within the byte budget. Services that the requester calls go
 * first.
 */
import {Buffer} from 'node:buffer';
import {type Address, type Body, type Rumour} from './message.js';
import {
	digestVersionsAndAnnouncements,
	listVersionsAndAnnouncements,
} from './versions-and-announcements.js';
import {suspicionNoticeFor, controlAddressOf} from './probe.js';
import {listNearPeers, pickNearPeers} from './near-peers.js';
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
/** Anti-entropy repairs what gossip between failure domains and regions missed. */
const syncShares = {region: 1 / 4, remote: 1 / 8};
const frequentSeedContacts = 4;
const introducedMemberCount = 16;

/**
 * Syncs with a peer when due, and periodically contacts a seed and a dead member to detect that a
 * partition has healed.
 *
 * @param context context of the event
 */
export function advanceSync(context: EventContext): void {
	const {state, now} = context;
	sendPages(context);
	if (now >= state.nextReconnectAt && state.roster.deadSince.size > 0) {
		pingDeadMember(context);
	}

	if (now >= state.nextSeedContactAt) {
		contactSeeds(context);
	}

	if (now < state.nextSyncAt) {
		return;
	}

	const isJoining = state.hasSyncedNewRecords || state.roster.peers.length === 0;
	state.hasSyncedNewRecords = false;
	const {joinIntervalMilliseconds, syncIntervalMilliseconds} = state.parameters;
	state.nextSyncAt =
		now + (isJoining ? joinIntervalMilliseconds : syncIntervalMilliseconds);
	syncWithPeerOrSeeds(context);
}

/**
 * Requests the differing records from an address.
 *
 * @param context context of the event
 * @param address where to send the request
 * @param isReply whether this request answers another one; the receiver sends none back
 */
export function requestSync(
	context: EventContext,
	address: Address,
	isReply: boolean,
): void {
	const {state} = context;
	const isAlone = state.roster.peers.length === 0;
	const body: Body = {
		kind: 'syncRequest',
		digests: isAlone ? [] : [...state.roster.digests],
		services: listWantedServices(state.wantedServices),
		isReply,
		newsDigest: digestVersionsAndAnnouncements(context),
	};
	sendPacket(context, address, body, [{kind: 'detail', record: state.self}]);
}

/**
 * Queues the answer to a sync request, and sends a request back once so that both sides converge.
 *
 * @param context context of the event
 * @param request the received request
 * @param sender id of the member that sent it
 * @param from address to answer to
 */
export function answerSync(
	context: EventContext,
	request: Extract<Body, {kind: 'syncRequest'}>,
	sender: string,
	from: Address,
): void {
	const isAlone = request.digests.length === 0;
	sendIntroduction(context, isAlone, sender, from);
	const differing = isAlone ? [] : listDifferingBuckets(context, request.digests);
	const hasNewerData = request.newsDigest !== digestVersionsAndAnnouncements(context);
	queueSyncJob(context, {
		address: from,
		rumours: hasNewerData ? listVersionsAndAnnouncements(context) : [],
		nodeIds: collectNodeIds(context, request.services, differing),
	});
	if (!request.isReply && !isAlone && (hasNewerData || differing.length > 0)) {
		requestSync(context, from, true);
	}

	sendPages(context);
}

/**
 * Sends this node's record and tells the sender if it is suspect or dead here. A node without
 * peers also gets some members, so that joining nodes do not all load the same seed, and its own
 * record, which may be of an earlier start with a higher incarnation.
 */
function sendIntroduction(
	context: EventContext,
	isAlone: boolean,
	sender: string,
	from: Address,
): void {
	const {roster, self} = context.state;
	const rumours: Rumour[] = [
		{kind: 'detail', record: self},
		...suspicionNoticeFor(context, sender),
	];
	const introduced = isAlone
		? pickPeers(roster, introducedMemberCount, context.random, sender)
		: [];
	const known = roster.records.get(sender);
	if (isAlone && known !== undefined) {
		rumours.push({kind: 'detail', record: known});
	}

	for (const {nodeId} of introduced) {
		rumours.push({kind: 'detail', record: roster.records.get(nodeId)!});
	}

	sendPacket(context, from, {kind: 'syncPage'}, rumours);
}

function syncWithPeerOrSeeds(context: EventContext): void {
	const {roster, self} = context.state;
	const peers = listNearPeers(roster, self.member);
	const [nodeId] = pickNearPeers(peers, syncShares, 1, context.random);
	if (nodeId !== undefined) {
		const {member} = roster.records.get(nodeId)!;
		requestSync(context, controlAddressOf(member), false);
		return;
	}

	for (const seed of pickSeeds(context, seedsAskedAtOnce)) {
		requestSync(context, seed, false);
	}
}

/** Pings a dead member with its standing, so that it refutes if alive. */
function pingDeadMember(context: EventContext): void {
	const {state, random} = context;
	state.nextReconnectAt = context.now + state.parameters.reconnectIntervalMilliseconds;
	const dead = [...state.roster.deadSince.keys()];
	const target = dead[Math.floor(random() * dead.length)]!;
	const {member} = state.roster.records.get(target)!;
	const ping: Body = {kind: 'ping', sequence: nextSequence(state), target};
	sendPriorityPacket(
		context,
		controlAddressOf(member),
		ping,
		suspicionNoticeFor(context, target),
	);
}

/**
 * Syncs with seeds that are not known as members, since nodes that start together may first form
 * separate groups.
 */
function contactSeeds(context: EventContext): void {
	const {state} = context;
	const {joinIntervalMilliseconds, seedContactIntervalMilliseconds} = state.parameters;
	// A recently started node contacts more seeds, and more often.
	const hasRecentlyStarted = state.seedContacts < frequentSeedContacts;
	const isAlone = state.roster.peers.length === 0;
	const seedCount = hasRecentlyStarted ? seedsAskedAtOnce : 1;
	for (const seed of pickSeeds(context, isAlone ? 0 : seedCount)) {
		requestSync(context, seed, false);
	}

	const backoff = joinIntervalMilliseconds * 2 ** Math.min(state.seedContacts, 16);
	state.nextSeedContactAt =
		context.now + Math.min(seedContactIntervalMilliseconds, backoff);
	state.seedContacts += 1;
}

function pickSeeds(context: EventContext, count: number): Address[] {
	if (count === 0) {
		return [];
	}

	const {roster, seeds} = context.state;
	const known = new Set<string>();
	for (const nodeId of roster.peers) {
		const {host, controlPort} = roster.records.get(nodeId)!.member;
		known.add(`${host}:${controlPort}`);
	}

	const unknown = seeds.filter(({host, port}) => !known.has(`${host}:${port}`));
	const start = Math.floor(context.random() * unknown.length);
	return [...unknown.slice(start), ...unknown.slice(0, start)].slice(0, count);
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
