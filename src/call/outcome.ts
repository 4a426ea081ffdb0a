/**
 * What a caller is told about its request. `notRun` is said only when it is provable that no
 * server received the request; a timeout or a closed connection alone proves nothing.
 */
export const outcomes = {
	/** A server answered the request in whole. */
	ran: 'ran',
	/** No server received the request, and none will. */
	notRun: 'not-run',
	/** The request may or may not have run. */
	unknown: 'unknown',
} as const;

export type Outcome = (typeof outcomes)[keyof typeof outcomes];
