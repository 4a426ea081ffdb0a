/** The pages that answer a sync request, sent one by one as the byte budget allows. */
import {
	datagramOverheadBytes,
	maximumDatagramBytes,
	measureRumour,
	reserveSpace,
} from './codec.js';
import {type Rumour} from './message.js';
import {bucketCount} from './roster.js';
import {availableBytes, sendPacket} from './send.js';
import {type EventContext, type SyncJob} from './state.js';

/** Room for the name of the sender and the frame of the packet. */
const emptyPacketBytes = 210;

/**
 * Compares the digests of a request with this node's own.
 *
 * @param step the event being decided
 * @param digests digests of the node that asks
 * @returns the buckets that differ
 */
export function listDifferingBuckets(
	step: EventContext,
	digests: readonly number[],
): number[] {
	const {digests: own} = step.state.roster;
	const differing: number[] = [];
	for (let bucket = 0; bucket < bucketCount; bucket += 1) {
		if (own[bucket] !== digests[bucket]) {
			differing.push(bucket);
		}
	}

	return differing;
}

/**
 * Chooses what is sent: members of the wanted services first, then a share of the buckets that
 * differ.
 *
 * @param step the event being decided
 * @param services services that the asking node wants first
 * @param differing buckets that differ
 * @returns names of members, the first to send last
 */
export function collectNodeIds(
	step: EventContext,
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

/**
 * Queues an answer; it replaces an older one to the same address.
 *
 * @param step the event being decided
 * @param job the answer
 */
export function queueSyncJob(step: EventContext, job: SyncJob): void {
	const {state} = step;
	const {host, port} = job.address;
	const others = state.syncJobs.filter(
		({address}) => address.host !== host || address.port !== port,
	);
	const isNeeded = job.nodeIds.length > 0 || job.rumours.length > 0;
	if (isNeeded && others.length < state.parameters.maximumSyncJobs) {
		others.push(job);
	}

	state.syncJobs = others;
}

/**
 * Sends pages of the queued answers in turn while the budget lasts.
 *
 * @param step the event being decided
 */
export function sendPages(step: EventContext): void {
	const {state} = step;
	while (state.syncJobs.length > 0) {
		if (availableBytes(step) < maximumDatagramBytes + datagramOverheadBytes) {
			return;
		}

		const job = state.syncJobs.shift()!;
		sendPacket(step, job.address, {kind: 'syncPage'}, fillPage(step, job));
		if (job.nodeIds.length > 0 || job.rumours.length > 0) {
			state.syncJobs.push(job);
		}
	}
}

/** Takes what fits in one datagram: news first, then members. */
function fillPage(step: EventContext, job: SyncJob): Rumour[] {
	const rumours: Rumour[] = [];
	const room = {bytes: maximumDatagramBytes - emptyPacketBytes, names: new Set<string>()};
	for (
		let rumour = peekNextRumour(step, job);
		rumour !== undefined;
		rumour = peekNextRumour(step, job)
	) {
		const fits = reserveSpace(room, measureRumour(rumour));
		if (!fits && rumours.length > 0) {
			return rumours;
		}

		(job.rumours.length > 0 ? job.rumours : job.nodeIds).pop();
		rumours.push(rumour);
	}

	return rumours;
}

/** Gives what is to be sent next, without the members that were forgotten meanwhile. */
function peekNextRumour(step: EventContext, job: SyncJob): Rumour | undefined {
	const news = job.rumours.at(-1);
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
