/** Questions for routes that wait until the asked node has them. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {createAwaitedRoutes} from '../../src/relay/awaited-routes.js';

test('a question waits until the routes are newer, or for its time', async () => {
	const state = {version: 1};
	const awaited = createAwaitedRoutes({version: () => state.version, sleep});
	const ends: string[] = [];
	const ask = async (name: string, newerThan: number, milliseconds: number) => {
		await awaited.wait(newerThan, milliseconds);
		ends.push(name);
	};

	const answers = [ask('has', 0, 1000), ask('lacks', 1, 1000), ask('newest', 2, 50)];
	await answers[0];
	expect(ends).toEqual(['has']);
	state.version = 2;
	awaited.notify();
	await answers[1];
	expect(ends).toEqual(['has', 'lacks']);
	await answers[2];
	expect(ends).toEqual(['has', 'lacks', 'newest']);
});

test('no more questions wait than the limit', async () => {
	const awaited = createAwaitedRoutes({version: () => 0, sleep});
	const answers = Array.from({length: 256}, async () => awaited.wait(0, 20));
	expect(awaited.isFull()).toEqual(true);
	await Promise.all(answers);
	expect(awaited.isFull()).toEqual(false);
});
