/**
 * How much room the VM's link has for bodies on their way in. A link passes bytes in the order in
 * which they come, so that small requests wait behind large bodies. The node counts the bodies that
 * have begun to arrive and invites no further large one while they fill the link for too long.
 *
 * Load pattern: a burst of uploads to a few servers behind narrow links, beside small requests of
 * running work to the same servers.
 */

export type InboundLink = {
	readonly bytesPerMillisecond: number;
	/** Bytes of bodies that have begun to arrive and are not complete. */
	pendingBytes: number;
};

const bitsPerByte = 8;
const bitsPerMillisecondInMegabit = 1000;
/** Bodies up to this size always pass; they take no longer than a few heads, in bytes. */
const smallBodyBytes = 8192;
/** Time for which bodies may fill the link; a fraction of what small requests can wait, in milliseconds. */
const largestBacklogMilliseconds = 100;

/**
 * @param megabitsPerSecond what the link carries
 * @returns a link on which no body is on its way
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
 * @returns ends the counting; further calls change nothing
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
 * @param link what is on its way
 * @param bytes length of the body
 * @returns false while the link is full for longer than small requests can wait
 */
export function hasRoomFor(link: InboundLink, bytes: number): boolean {
	return bytes <= smallBodyBytes || findBacklog(link) <= largestBacklogMilliseconds;
}

/**
 * Estimates when a body would have come if its sending began now.
 *
 * @param link what is on its way
 * @param bytes length of the body
 * @returns milliseconds
 */
export function estimateTransferTime(link: InboundLink, bytes: number): number {
	return bytes <= smallBodyBytes
		? 0
		: findBacklog(link) + bytes / link.bytesPerMillisecond;
}

function findBacklog(link: InboundLink): number {
	return link.pendingBytes / link.bytesPerMillisecond;
}
