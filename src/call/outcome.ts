/**
 * What a caller is told about its request. `notRun` is reported only if provably no server
 * received the request; a timeout or a closed connection alone proves nothing.
 */
export const outcomes = {
	/** A server sent a complete response to the request. */
	ran: 'ran',
	/** No server received the request, and none will. */
	notRun: 'not-run',
	/** The request may or may not have run. */
	unknown: 'unknown',
} as const;

export type Outcome = (typeof outcomes)[keyof typeof outcomes];
