/**
 * The rumours that this member still passes on. Each is sent a bounded number of times; those
 * sent least often go first, and among these the newest. News of a subject replaces the older
 * news of it.
 */
import {subjectOf, type Rumour} from './message.js';
import {measureRumour, reserveSpace, type PacketSpace, type RumourSize} from './codec.js';

type QueuedRumour = {
	readonly subject: string;
	readonly rumour: Rumour;
	readonly size: RumourSize;
};

/** Rumours by the number of times that they were sent, newest last. */
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
 * Queues a rumour in place of an older one on the same subject. Updates the queue in place.
 *
 * @param broadcast the queue
 * @param rumour the news
 */
export function enqueueRumour(broadcast: RumourQueue, rumour: Rumour): void {
	const subject = subjectOf(rumour);
	const entry: QueuedRumour = {subject, rumour, size: measureRumour(rumour)};
	broadcast.entries.set(subject, entry);
	broadcast.bySendCount[0] ??= [];
	broadcast.bySendCount[0].push(entry);
}

/**
 * Takes the rumours that fit, and counts them as sent once more. Updates the queue in place.
 *
 * @param broadcast the queue
 * @param room what is left of the packet, updated in place
 * @param transmissions times that a rumour is sent in all
 * @returns the rumours to send
 */
export function dequeueRumours(
	broadcast: RumourQueue,
	room: PacketSpace,
	transmissions: number,
): Rumour[] {
	const taken: Rumour[] = [];
	// Taken entries are put back after all tiers are read, so that none is met twice.
	const moved: Array<{entry: QueuedRumour; tier: number}> = [];
	for (const [sent, tier] of broadcast.bySendCount.entries()) {
		dequeueFitting(broadcast, tier, room, entry => {
			taken.push(entry.rumour);
			moved.push({entry, tier: sent + 1});
		});
	}

	for (const {entry, tier} of moved.toReversed()) {
		if (tier >= transmissions) {
			broadcast.entries.delete(entry.subject);
			continue;
		}

		broadcast.bySendCount[tier] ??= [];
		broadcast.bySendCount[tier].push(entry);
	}

	return taken;
}

/** Takes from the end of a tier while entries fit, dropping those that newer news replaced. */
function dequeueFitting(
	broadcast: RumourQueue,
	tier: QueuedRumour[],
	room: PacketSpace,
	take: (entry: QueuedRumour) => void,
): void {
	while (tier.length > 0) {
		const entry = tier.at(-1)!;
		const isCurrent = broadcast.entries.get(entry.subject) === entry;
		if (isCurrent && !reserveSpace(room, entry.size)) {
			return;
		}

		tier.pop();
		if (isCurrent) {
			take(entry);
		}
	}
}
