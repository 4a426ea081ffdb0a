/** A call that may not run twice, for tests of the hops between nodes and to servers. */
import type {RelayCall} from '../../src/relay/call.js';

/**
 * Creates a call without a body.
 *
 * @param requestId id of the request
 */
export function createCall(requestId: string): RelayCall {
	const now = performance.now();
	return {
		requestId,
		route: 'book',
		service: 'bookings',
		method: 'POST',
		path: '/book/1',
		headers: ['x-request-id', requestId],
		body: new Uint8Array(0),
		originService: 'bookings',
		rank: 1,
		idempotent: false,
		nested: false,
		repeated: false,
		targetMilliseconds: 500,
		arrivedAt: now,
		targetAt: now + 500,
		deadlineAt: now + 1000,
		maximumAttempts: 1,
		team: undefined,
		homes: [],
	};
}
