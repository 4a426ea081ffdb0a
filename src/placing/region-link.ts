/**
 * This node's part of the link to another region. All nodes of a region share the link, and none
 * knows what the others send, so each stays within an equal part and leaves a reserve for traffic
 * that cannot choose its way: gossip, the table and callers.
 *
 * Load pattern: a full region that sends its excess over a narrow link, with responses that are
 * far larger than their requests.
 */

/** Bytes of this node's calls over the link, in each direction. */
export type RegionLink = {
	sentBytes: number;
	receivedBytes: number;
	/** Monotonic time in milliseconds. */
	updatedAt: number;
};

/** Bytes of one call. */
export type CallBytes = {readonly sent: number; readonly received: number};

/** Time in which counted bytes decay by a factor of e, in milliseconds. */
const decayMilliseconds = 2000;
/** Share of the node's part that calls may fill. */
const usableShare = 0.7;
const bytesPerMillisecondInMegabit = 125;

/** @returns a link over which nothing was sent */
export function createRegionLink(): RegionLink {
	return {sentBytes: 0, receivedBytes: 0, updatedAt: 0};
}

/**
 * Counts a call that is sent over the link.
 *
 * @param link changed in place
 * @param bytes its size in each direction
 * @param now monotonic time in milliseconds
 */
export function recordCallBytes(link: RegionLink, bytes: CallBytes, now: number): void {
	const remaining = remainingShare(link, now);
	link.sentBytes = link.sentBytes * remaining + bytes.sent;
	link.receivedBytes = link.receivedBytes * remaining + bytes.received;
	link.updatedAt = now;
}

/**
 * Tells whether a call fits into this node's part of the link.
 *
 * @param link what was sent so far
 * @param bytes size of the call in each direction
 * @param megabitsPerSecond this node's part of the link; undefined if it is not known
 * @param now monotonic time in milliseconds
 * @returns whether the call may be sent
 */
export function fitsRegionLink(
	link: RegionLink,
	bytes: CallBytes,
	megabitsPerSecond: number | undefined,
	now: number,
): boolean {
	if (megabitsPerSecond === undefined) {
		return true;
	}

	const usableBytes =
		megabitsPerSecond * bytesPerMillisecondInMegabit * decayMilliseconds * usableShare;
	const remaining = remainingShare(link, now);
	return (
		link.sentBytes * remaining + bytes.sent <= usableBytes &&
		link.receivedBytes * remaining + bytes.received <= usableBytes
	);
}

function remainingShare(link: RegionLink, now: number): number {
	return Math.exp((link.updatedAt - now) / decayMilliseconds);
}
