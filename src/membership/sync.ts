/**
 * Join and anti-entropy. A request carries a digest for each bucket of members; what differs is
 * sent in answer, page by page, inside the byte budget. Services that a node calls go first.
 */
import {Buffer} from 'node:buffer';
import {datagramOverheadBytes, maximumDatagramBytes, rumourBytes} from './codec.js';
import {type Address, type Body, type Rumour} from './message.js';
import {digestNews, listNews} from './news.js';
import {accusationOf, addressOf} from './probe.js';
import {bucketCount, pickPeers} from './roster.js';
import {availableBytes, sendPage, sendPacket} from './send.js';
import {type Step, type SyncJob} from './state.js';

const emptyPacketBytes = 210;
const maximumServicesBytes = 300;

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
		state.nextReconnectAt = now + state.parameters.reconnectIntervalMilliseconds;
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
	const body: Body = {
		kind: 'syncRequest',
		digests: [...state.roster.digests],
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
	const {state} = step;
	const self: Rumour = {kind: 'detail', record: state.self};
	sendPage(step, from, [self, ...accusationOf(step, sender)]);
	const differing = listDifferingBuckets(step, request.digests);
	const hasNews = request.newsDigest !== digestNews(step);
	queuePages(step, {
		address: from,
		news: hasNews ? listNews(step) : [],
		nodeIds: collectNodeIds(step, request.services, differing),
	});
	if (!request.isReply && (hasNews || differing.length > 0)) {
		requestSync(step, from, true);
	}

	sendPages(step);
}

function syncWithSomeone(step: Step): void {
	const {state, random} = step;
	const [peer] = pickPeers(state.roster, 1, random);
	if (peer !== undefined) {
		requestSync(step, addressOf(peer), false);
		return;
	}

	for (const seed of state.seeds) {
		requestSync(step, seed, false);
	}
}

function reconnect(step: Step): void {
	const {state, random} = step;
	const dead = [...state.roster.departed.keys()];
	const chosen = dead[Math.floor(random() * dead.length)];
	if (chosen !== undefined) {
		requestSync(step, addressOf(state.roster.records.get(chosen)!.member), false);
	}

	const seed = state.seeds[Math.floor(random() * state.seeds.length)];
	if (seed !== undefined) {
		requestSync(step, seed, false);
	}
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

function listDifferingBuckets(step: Step, digests: readonly number[]): number[] {
	const {digests: own} = step.state.roster;
	const differing: number[] = [];
	for (let bucket = 0; bucket < bucketCount; bucket += 1) {
		if (own[bucket] !== digests[bucket]) {
			differing.push(bucket);
		}
	}

	return differing;
}

/** Members of the wanted services first, then a share of the buckets that differ. */
function collectNodeIds(
	step: Step,
	services: readonly string[],
	differing: readonly number[],
): string[] {
	const {roster, parameters} = step.state;
	const nodeIds = new Set<string>();
	for (const service of services) {
		for (const nodeId of roster.services.get(service)?.keys() ?? []) {
			nodeIds.add(nodeId);
		}
	}

	// A random start, so that several peers asked at once send different buckets.
	const start = Math.floor(step.random() * differing.length);
	const count = Math.min(differing.length, parameters.bucketsPerSync);
	for (let offset = 0; offset < count; offset += 1) {
		const bucket = differing[(start + offset) % differing.length]!;
		for (const nodeId of roster.buckets[bucket]!) {
			nodeIds.add(nodeId);
		}
	}

	return [...nodeIds].toReversed();
}

/** A newer answer to the same address replaces the older one. */
function queuePages(step: Step, job: SyncJob): void {
	const {state} = step;
	const {host, port} = job.address;
	const others = state.syncJobs.filter(
		({address}) => address.host !== host || address.port !== port,
	);
	const isNeeded = job.nodeIds.length > 0 || job.news.length > 0;
	if (isNeeded && others.length < state.parameters.maximumSyncJobs) {
		others.push(job);
	}

	state.syncJobs = others;
}

/** Sends pages of the queued answers in turn while the budget lasts. */
function sendPages(step: Step): void {
	const {state} = step;
	while (state.syncJobs.length > 0) {
		if (availableBytes(step) < maximumDatagramBytes + datagramOverheadBytes) {
			return;
		}

		const job = state.syncJobs.shift()!;
		sendPage(step, job.address, takePage(step, job));
		if (job.nodeIds.length > 0 || job.news.length > 0) {
			state.syncJobs.push(job);
		}
	}
}

/** Takes what fits in one datagram: news first, then members. */
function takePage(step: Step, job: SyncJob): Rumour[] {
	const rumours: Rumour[] = [];
	let room = maximumDatagramBytes - emptyPacketBytes;
	for (let rumour = nextOf(step, job); rumour !== undefined; rumour = nextOf(step, job)) {
		room -= rumourBytes(rumour);
		if (room < 0 && rumours.length > 0) {
			return rumours;
		}

		(job.news.length > 0 ? job.news : job.nodeIds).pop();
		rumours.push(rumour);
	}

	return rumours;
}

/** Gives what is to be sent next, without the members that were forgotten meanwhile. */
function nextOf(step: Step, job: SyncJob): Rumour | undefined {
	const news = job.news.at(-1);
	if (news !== undefined) {
		return news;
	}

	for (
		let nodeId = job.nodeIds.at(-1);
		nodeId !== undefined;
		nodeId = job.nodeIds.at(-1)
	) {
		const record = step.state.roster.records.get(nodeId);
		if (record !== undefined) {
			return {kind: 'detail', record};
		}

		job.nodeIds.pop();
	}

	return undefined;
}
