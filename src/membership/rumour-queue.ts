/**
 * Queue of the rumours that this node still has to gossip. Each is sent a bounded number of
 * times; those sent least often go first, the newest of them before the others. A new rumour
 * replaces a queued one on the same subject.
 */
import {subjectOf, type Rumour} from './message.js';
import {measureRumour, reserveSpace, type PacketSpace, type RumourSize} from './codec.js';

type QueuedRumour = {
	readonly subject: string;
	readonly rumour: Rumour;
	readonly size: RumourSize;
};

/** A proof is replaced by a newer one soon, so that it need not reach every member. */
const sparedProofTransmissions = 4;

/** Rumours by subject, and by the number of times they were sent, newest last. */
export type RumourQueue = {
	readonly entries: Map<string, QueuedRumour>;
	readonly bySendCount: QueuedRumour[][];
};

/**
 * Creates an empty queue of rumours.
 *
 * @returns the queue
 */
export function createRumourQueue(): RumourQueue {
	return {entries: new Map(), bySendCount: []};
}

/**
 * Queues a rumour, replacing an older one on the same subject. Updates the queue in place.
 *
 * @param queue the queue
 * @param rumour the rumour to send
 */
export function enqueueRumour(queue: RumourQueue, rumour: Rumour): void {
	const subject = subjectOf(rumour);
	const entry: QueuedRumour = {subject, rumour, size: measureRumour(rumour)};
	queue.entries.set(subject, entry);
	queue.bySendCount[0] ??= [];
	queue.bySendCount[0].push(entry);
}

/**
 * Takes the rumours that fit into a packet and increments their send counts. Updates the queue
 * in place.
 *
 * @param queue the queue
 * @param space remaining space of the packet, updated in place
 * @param transmissions number of times each rumour is sent
 * @returns the rumours to send
 */
export function dequeueRumours(
	queue: RumourQueue,
	space: PacketSpace,
	transmissions: number,
): Rumour[] {
	const taken: Rumour[] = [];
	// Entries are put back after all lists are read, so that none is taken twice.
	const moved: Array<{entry: QueuedRumour; sendCount: number}> = [];
	for (const [sent, sameCount] of queue.bySendCount.entries()) {
		dequeueFitting(queue, sameCount, space, entry => {
			taken.push(entry.rumour);
			moved.push({entry, sendCount: sent + 1});
		});
	}

	for (const {entry, sendCount} of moved.toReversed()) {
		const isProof = entry.rumour.kind === 'proof';
		if (sendCount >= transmissions - (isProof ? sparedProofTransmissions : 0)) {
			queue.entries.delete(entry.subject);
			continue;
		}

		queue.bySendCount[sendCount] ??= [];
		queue.bySendCount[sendCount].push(entry);
	}

	return taken;
}

/** Takes entries from the end of the list while they fit, dropping replaced ones. */
function dequeueFitting(
	queue: RumourQueue,
	sameCount: QueuedRumour[],
	space: PacketSpace,
	take: (entry: QueuedRumour) => void,
): void {
	while (sameCount.length > 0) {
		const entry = sameCount.at(-1)!;
		const isCurrent = queue.entries.get(entry.subject) === entry;
		if (isCurrent && !reserveSpace(space, entry.size)) {
			return;
		}

		sameCount.pop();
		if (isCurrent) {
			take(entry);
		}
	}
}
