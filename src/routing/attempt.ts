/** How an attempt at a server ended, and what came back. */
import {type LoadReport} from './load-report.js';

/** How an attempt at a server ended. */
export const attemptEnds = {
	/** A whole answer of the server. */
	answered: 'answered',
	/** An error of the server, or no whole answer. */
	failed: 'failed',
	/** The gate or server had no room and did not run it. */
	refused: 'refused',
	/** This node gave it up; that says nothing of the server. */
	abandoned: 'abandoned',
} as const;

export type AttemptEnd = (typeof attemptEnds)[keyof typeof attemptEnds];

/** What came back from an attempt. */
export type AttemptResult = {
	readonly end: AttemptEnd;
	/** From sending the request to the head of the answer. */
	readonly latencyMilliseconds: number;
	/** The load that came with the answer, if any. */
	readonly report?: LoadReport | undefined;
};
