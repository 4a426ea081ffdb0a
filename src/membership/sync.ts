/**
 * Join and anti-entropy. A request carries a digest for each bucket of members; what differs is
 * sent in answer, page by page, inside the byte budget. Services that a node calls go first.
 */
import {Buffer} from 'node:buffer';
import {type Address, type Body, type Rumour} from './message.js';
import {digestNews, listNews} from './news.js';
import {accusationOf, addressOf} from './probe.js';
import {pickPeers} from './roster.js';
import {sendPacket, sendProbe} from './send.js';
import {takeSequence, type Step} from './state.js';
import {
	collectNodeIds,
	listDifferingBuckets,
	queuePages,
	sendPages,
} from './sync-pages.js';

const maximumServicesBytes = 300;
const seedsAskedAtOnce = 3;
const youngAttempts = 4;
const introducedMembers = 16;

/**
 * Asks a peer for what differs when the time has come, and tries a seed or a dead member now
 * and then so that a healed cut is noticed.
 *
 * @param step the event being decided
 */
export function advanceSync(step: Step): void {
	const {state, now} = step;
	sendPages(step);
	if (now >= state.nextReconnectAt) {
		reconnect(step);
	}

	if (now < state.nextSyncAt) {
		return;
	}

	const isJoining = state.hasLearned || state.roster.peers.length === 0;
	state.hasLearned = false;
	const {joinIntervalMilliseconds, syncIntervalMilliseconds} = state.parameters;
	state.nextSyncAt =
		now + (isJoining ? joinIntervalMilliseconds : syncIntervalMilliseconds);
	syncWithSomeone(step);
}

/**
 * Asks an address for what differs.
 *
 * @param step the event being decided
 * @param address whom to ask
 * @param isReply whether this answers a request
 */
export function requestSync(step: Step, address: Address, isReply: boolean): void {
	const {state} = step;
	const isAlone = state.roster.peers.length === 0;
	const body: Body = {
		kind: 'syncRequest',
		digests: isAlone ? [] : [...state.roster.digests],
		services: listWantedServices(state.wantedServices),
		isReply,
		newsDigest: digestNews(step),
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
	step: Step,
	request: Extract<Body, {kind: 'syncRequest'}>,
	sender: string,
	from: Address,
): void {
	const isAlone = request.digests.length === 0;
	introduce(step, isAlone ? introducedMembers : 0, sender, from);
	const differing = isAlone ? [] : listDifferingBuckets(step, request.digests);
	const hasNews = request.newsDigest !== digestNews(step);
	queuePages(step, {
		address: from,
		news: hasNews ? listNews(step) : [],
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
function introduce(step: Step, count: number, sender: string, from: Address): void {
	const {roster, self} = step.state;
	const rumours: Rumour[] = [
		{kind: 'detail', record: self},
		...accusationOf(step, sender),
	];
	for (const {nodeId} of pickPeers(roster, count, step.random, sender)) {
		rumours.push({kind: 'detail', record: roster.records.get(nodeId)!});
	}

	sendPacket(step, from, {kind: 'syncPage'}, rumours);
}

function syncWithSomeone(step: Step): void {
	const {state, random} = step;
	const [peer] = pickPeers(state.roster, 1, random);
	if (peer !== undefined) {
		requestSync(step, addressOf(peer), false);
		return;
	}

	for (const seed of pickSeeds(step, seedsAskedAtOnce)) {
		requestSync(step, seed, false);
	}
}

/** Pings a dead member with its verdict, so that it refutes if it lives; and asks a seed. */
function reconnect(step: Step): void {
	const {state, random} = step;
	const dead = [...state.roster.departed.keys()];
	const chosen = dead[Math.floor(random() * dead.length)];
	if (chosen !== undefined) {
		const {member} = state.roster.records.get(chosen)!;
		const ping: Body = {kind: 'ping', sequence: takeSequence(state), target: chosen};
		sendProbe(step, addressOf(member), ping, accusationOf(step, chosen));
	}

	const {joinIntervalMilliseconds, reconnectIntervalMilliseconds} = state.parameters;
	// Nodes that start together may first meet in separate groups, so a young node asks more
	// seeds, and more often.
	const isYoung = state.reconnectAttempts < youngAttempts;
	const isAlone = state.roster.peers.length === 0;
	const wanted = isYoung ? seedsAskedAtOnce : 1;
	for (const seed of pickSeeds(step, isAlone ? 0 : wanted)) {
		requestSync(step, seed, false);
	}

	const grown = joinIntervalMilliseconds * 2 ** Math.min(state.reconnectAttempts, 16);
	state.nextReconnectAt = step.now + Math.min(reconnectIntervalMilliseconds, grown);
	state.reconnectAttempts += 1;
}

function pickSeeds(step: Step, count: number): Address[] {
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
