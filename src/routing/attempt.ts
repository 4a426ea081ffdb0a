/** The result of an attempt to run a call at a server. */
import {type LoadReport} from './load-report.js';

/** How an attempt ended. */
export const attemptEnds = {
	/** A complete response from the server. */
	answered: 'answered',
	/** A server error, or no complete response. */
	failed: 'failed',
	/** The gate or server had no free capacity and did not run it. */
	refused: 'refused',
	/** Cancelled by this node; says nothing about the server. */
	abandoned: 'abandoned',
} as const;

export type AttemptEnd = (typeof attemptEnds)[keyof typeof attemptEnds];

/** The result of an attempt. */
export type AttemptResult = {
	readonly end: AttemptEnd;
	/** From sending the request to receiving the response head. */
	readonly latencyMilliseconds: number;
	/** The load report that came with the response, if any. */
	readonly report?: LoadReport | undefined;
};
