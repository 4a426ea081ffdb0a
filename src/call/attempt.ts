/**
 * Names of attempts. An attempt is one sending of a call from its ingress node to a gate; a
 * retry is another attempt. The ingress numbers its attempts upwards within one life, and the
 * numbers follow its wall clock loosely, so that a node that starts later numbers higher. Only
 * how soon a forgotten ingress is admitted again hangs on that clock, never what may run.
 */

/** Names one attempt in the mesh. */
export type AttemptId = {
	/** Node and incarnation of the ingress, as `formatIngress` writes them. */
	readonly ingress: string;
	/** Grows with each attempt of one ingress. */
	readonly sequence: number;
};

const separator = '/';

/**
 * Names one life of an ingress node.
 *
 * @param nodeId name of the node
 * @param incarnation number of this life of the node
 * @returns the text that an attempt carries
 */
export function formatIngress(nodeId: string, incarnation: number): string {
	return `${encodeURIComponent(nodeId)}${separator}${incarnation}`;
}

/**
 * Chooses the number of an ingress node's next attempt.
 *
 * @param previous number of the attempt before, zero for the first
 * @param wallClockMilliseconds wall clock of the ingress
 * @returns a number above `previous` and not below the clock
 */
export function nextSequence(previous: number, wallClockMilliseconds: number): number {
	return Math.max(previous + 1, Math.floor(wallClockMilliseconds));
}

/**
 * Writes an attempt's name as a header value.
 *
 * @param id the attempt
 * @returns its text
 */
export function formatAttemptId(id: AttemptId): string {
	return `${id.ingress}${separator}${id.sequence}`;
}

/**
 * Reads an attempt's name from a header value.
 *
 * @param text what `formatAttemptId` wrote
 * @returns the attempt, or nothing when the text is none
 */
export function parseAttemptId(text: string): AttemptId | undefined {
	const at = text.lastIndexOf(separator);
	const digits = text.slice(at + 1);
	const sequence = Number(digits);
	const isWhole = Number.isSafeInteger(sequence) && String(sequence) === digits;
	if (at < 1 || !isWhole || sequence < 1) {
		return undefined;
	}

	return {ingress: text.slice(0, at), sequence};
}
