/** The pages that answer a sync request, sent one at a time as the byte budget allows. */
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

/** Space for the sender's node id and the framing of the packet. */
const emptyPacketBytes = 210;

/**
 * Compares the digests of a request with this node's own.
 *
 * @param context context of the event
 * @param digests digests of the requesting node
 * @returns the buckets that differ
 */
export function listDifferingBuckets(
	context: EventContext,
	digests: readonly number[],
): number[] {
	const {digests: own} = context.state.roster;
	const differing: number[] = [];
	for (let bucket = 0; bucket < bucketCount; bucket += 1) {
		if (own[bucket] !== digests[bucket]) {
			differing.push(bucket);
		}
	}

	return differing;
}

/**
 * Chooses the members to send: those of the requested services first, then a part of the
 * differing buckets.
 *
 * @param context context of the event
 * @param services services that the requester wants first
 * @param differing buckets that differ
 * @returns ids of members, in reverse order of sending
 */
export function collectNodeIds(
	context: EventContext,
	services: readonly string[],
	differing: readonly number[],
): string[] {
	const {roster, parameters} = context.state;
	const nodeIds = new Set<string>();
	for (const service of services) {
		for (const nodeId of roster.services.get(service)?.keys() ?? []) {
			nodeIds.add(nodeId);
		}
	}

	// A random start, so that several peers asked at once send different buckets.
	const start = Math.floor(context.random() * differing.length);
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
 * Queues an answer, replacing an older one to the same address.
 *
 * @param context context of the event
 * @param job the answer
 */
export function queueSyncJob(context: EventContext, job: SyncJob): void {
	const {state} = context;
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
 * Sends pages of the queued answers in rotation while the budget lasts.
 *
 * @param context context of the event
 */
export function sendPages(context: EventContext): void {
	const {state} = context;
	while (state.syncJobs.length > 0) {
		if (availableBytes(context) < maximumDatagramBytes + datagramOverheadBytes) {
			return;
		}

		const job = state.syncJobs.shift()!;
		sendPacket(context, job.address, {kind: 'syncPage'}, fillPage(context, job));
		if (job.nodeIds.length > 0 || job.rumours.length > 0) {
			state.syncJobs.push(job);
		}
	}
}

/** Takes the rumours that fit in one datagram: versions and announcements first, then members. */
function fillPage(context: EventContext, job: SyncJob): Rumour[] {
	const rumours: Rumour[] = [];
	const space = {
		bytes: maximumDatagramBytes - emptyPacketBytes,
		names: new Set<string>(),
	};
	for (
		let rumour = peekNextRumour(context, job);
		rumour !== undefined;
		rumour = peekNextRumour(context, job)
	) {
		const fits = reserveSpace(space, measureRumour(rumour));
		if (!fits && rumours.length > 0) {
			return rumours;
		}

		(job.rumours.length > 0 ? job.rumours : job.nodeIds).pop();
		rumours.push(rumour);
	}

	return rumours;
}

/** Returns the next rumour to send, dropping members that were removed from the roster meanwhile. */
function peekNextRumour(context: EventContext, job: SyncJob): Rumour | undefined {
	const queued = job.rumours.at(-1);
	if (queued !== undefined) {
		return queued;
	}

	for (
		let nodeId = job.nodeIds.at(-1);
		nodeId !== undefined;
		nodeId = job.nodeIds.at(-1)
	) {
		const record = context.state.roster.records.get(nodeId);
		if (record !== undefined) {
			return {kind: 'detail', record};
		}

		job.nodeIds.pop();
	}

	return undefined;
}
