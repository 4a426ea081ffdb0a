/**
 * Capacity of the VM's link for request bodies. A link delivers bytes in order, so that small
 * requests wait behind large bodies. The node counts the bodies that have begun to arrive and
 * accepts no further large one while the link is backlogged for too long.
 *
 * Load pattern: a burst of uploads to a few servers behind narrow links, beside small nested
 * requests to the same servers.
 */

export type InboundLink = {
	readonly bytesPerMillisecond: number;
	/** Bytes of bodies that have begun to arrive and are not complete. */
	pendingBytes: number;
};

const bitsPerByte = 8;
const bitsPerMillisecondInMegabit = 1000;
/** Bodies up to this size are always accepted; they take no longer than a few request heads. */
const smallBodyBytes = 8192;
/** Maximum backlog of the link, in milliseconds; a fraction of the time small requests can wait. */
const maximumBacklogMilliseconds = 100;

/**
 * @param megabitsPerSecond bandwidth of the link
 * @returns a link without pending bodies
 */
export function createInboundLink(megabitsPerSecond: number): InboundLink {
	const bytesPerMillisecond =
		(megabitsPerSecond * bitsPerMillisecondInMegabit) / bitsPerByte;
	return {bytesPerMillisecond, pendingBytes: 0};
}

/**
 * Counts a body that has begun to arrive.
 *
 * @param link changed in place
 * @param bytes length of the body
 * @returns stops counting the body; further calls change nothing
 */
export function trackBody(link: InboundLink, bytes: number): () => void {
	let counted = bytes;
	link.pendingBytes += counted;
	return () => {
		link.pendingBytes -= counted;
		counted = 0;
	};
}

/**
 * Tells whether a body may be sent here now.
 *
 * @param link the link with its pending bodies
 * @param bytes length of the body
 * @returns false while the backlog is longer than small requests can wait
 */
export function hasRoomFor(link: InboundLink, bytes: number): boolean {
	return bytes <= smallBodyBytes || findBacklog(link) <= maximumBacklogMilliseconds;
}

/**
 * Estimates how long a body takes to arrive if it is sent now.
 *
 * @param link the link with its pending bodies
 * @param bytes length of the body
 * @returns milliseconds
 */
export function estimateTransferTime(link: InboundLink, bytes: number): number {
	return bytes <= smallBodyBytes
		? 0
		: findBacklog(link) + bytes / link.bytesPerMillisecond;
}

/** Time that the pending bytes take, in milliseconds. */
function findBacklog(link: InboundLink): number {
	return link.pendingBytes / link.bytesPerMillisecond;
}
