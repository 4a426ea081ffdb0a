/** What becomes of an attempt whose receipt does not come, for each word of its gate. */
import {test} from 'node:test';
import {expect} from 'earl';
import type {RelayAttempt} from '../../src/relay/call.js';
import {judgeWord} from '../../src/relay/peers.js';

const now = 10_000;

function createAttempt(idempotent: boolean, targetAt: number): RelayAttempt {
	return {
		id: {ingress: 'node/1', sequence: 1},
		repeat: false,
		call: {
			requestId: 'request',
			route: 'route',
			service: 'search',
			method: 'GET',
			path: '/',
			headers: [],
			body: new Uint8Array(0),
			originService: 'search',
			rank: 1,
			idempotent,
			nested: false,
			targetMilliseconds: 400,
			arrivedAt: now - 250,
			targetAt,
			deadlineAt: now + 750,
			maximumAttempts: 2,
		},
	};
}

const cases: ReadonlyArray<
	readonly [string, boolean | undefined, boolean, number, string | undefined, number]
> = [
	['withdrawn work has not run', true, false, now + 150, 'refused', 0],
	['work that runs is awaited until its target', false, true, now + 150, 'lost', 150],
	['work that runs beyond its target is sent again', false, true, now - 1, 'lost', 0],
	['a gate that says nothing is given up', undefined, true, now + 150, 'lost', 0],
	[
		'work that must not repeat is awaited to the end',
		false,
		false,
		now + 150,
		undefined,
		0,
	],
	['so it is without a word', undefined, false, now + 150, undefined, 0],
];

for (const [name, word, idempotent, targetAt, kind, wait] of cases) {
	test(name, () => {
		const {result, waitMilliseconds} = judgeWord(
			word,
			createAttempt(idempotent, targetAt),
			now,
		);
		expect<string | undefined>(result?.kind).toEqual(kind);
		expect(waitMilliseconds).toEqual(wait);
	});
}
