/**
 * Attempt ids. An attempt sends a call once from its ingress node to a gate; a retry is another
 * attempt. Sequence numbers increase within one incarnation of the ingress and are at least its
 * wall clock, so that a node that starts later numbers higher. The clock affects only how soon
 * an evicted ingress is admitted again, never what may run.
 */

/** Identifies one attempt in the mesh. */
export type AttemptId = {
	/** Node and incarnation of the ingress, as `formatIngress` writes them. */
	readonly ingress: string;
	/** Increases with each attempt of one ingress. */
	readonly sequence: number;
};

const separator = '/';

/**
 * Formats the id of one incarnation of an ingress node.
 *
 * @param nodeId id of the node
 * @param incarnation incarnation number of the node, which grows with each start
 * @returns the value of `AttemptId.ingress`
 */
export function formatIngress(nodeId: string, incarnation: number): string {
	return `${encodeURIComponent(nodeId)}${separator}${incarnation}`;
}

/**
 * Returns the sequence number of an ingress node's next attempt.
 *
 * @param previous sequence number of the previous attempt, zero for the first
 * @param wallClockMilliseconds wall clock of the ingress
 * @returns a number above `previous` and not below the clock
 */
export function nextSequence(previous: number, wallClockMilliseconds: number): number {
	return Math.max(previous + 1, Math.floor(wallClockMilliseconds));
}

/**
 * Formats an attempt id as a header value.
 *
 * @param id the attempt
 * @returns the header value
 */
export function formatAttemptId(id: AttemptId): string {
	return `${id.ingress}${separator}${id.sequence}`;
}

/**
 * Parses an attempt id from a header value.
 *
 * @param text what `formatAttemptId` wrote
 * @returns the id, or undefined if the text is not one
 */
export function parseAttemptId(text: string): AttemptId | undefined {
	const separatorIndex = text.lastIndexOf(separator);
	const digits = text.slice(separatorIndex + 1);
	const sequence = Number(digits);
	const isWholeNumber = Number.isSafeInteger(sequence) && String(sequence) === digits;
	if (separatorIndex < 1 || !isWholeNumber || sequence < 1) {
		return undefined;
	}

	return {ingress: text.slice(0, separatorIndex), sequence};
}
