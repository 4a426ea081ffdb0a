/** How the deadline of a call limits what is received from its caller and from its server. */
import {
	createRefusal,
	isBuffered,
	refusalKinds,
	type Body,
	type Refusal,
} from '../call/index.js';
import type {Route} from '../routes/index.js';
import type {CallerRequestMetadata} from './platform-protocol.js';

/**
 * Finds how long a call may take: as its caller says, and as its route allows.
 *
 * @param metadata what the caller says
 * @param route the route of the call
 * @returns milliseconds from its arrival
 */
export function chooseTimeout(
	{timeoutMilliseconds}: CallerRequestMetadata,
	route: Route,
): number {
	return Math.min(
		timeoutMilliseconds ?? Number.POSITIVE_INFINITY,
		route.timeoutMilliseconds,
	);
}

/** @returns the refusal of a call whose body did not arrive in time */
export function createBodyTimeoutRefusal(): Refusal {
	return createRefusal(
		refusalKinds.deadlineExceeded,
		'the body did not arrive before the deadline: send it faster, or allow more time',
	);
}

/**
 * Breaks off a streamed body at the deadline of its call; a faulty server may send without end.
 *
 * @param body the body of a response
 * @param milliseconds time until the deadline
 */
export function limitStream(body: Body, milliseconds: number): void {
	if (isBuffered(body)) {
		return;
	}

	const timer = setTimeout(
		() => {
			body.destroy(new Error('the body did not end before the deadline'));
		},
		Math.max(0, milliseconds),
	);
	body.once('close', () => {
		clearTimeout(timer);
	});
}
