/** Refusals: each kind has its own HTTP status. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRefusal, refusalKinds} from '../../src/call/index.js';

test('a refusal carries the status of its kind', () => {
	const refusal = createRefusal(refusalKinds.overloaded, 'try again later', 20);
	expect(refusal.status).toEqual(429);
	expect(refusal.retryAfterMilliseconds).toEqual(20);
});
