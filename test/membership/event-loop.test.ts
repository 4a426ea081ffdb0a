/** The event loop of membership: order, errors, timers and the end. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {createEventLoop} from '../../src/membership/event-loop.js';
import {type MembershipEvent} from '../../src/membership/state.js';

const want = (service: string): MembershipEvent => ({kind: 'want', service});
const now = (): number => performance.now();

/** Starts a loop that records its events; `handle` may throw or offer further ones. */
function startLoop(
	handle: (event: MembershipEvent, offer: (event: MembershipEvent) => void) => void,
	nextTickAt: (now: number) => number = time => time + 60_000,
) {
	const handled: string[] = [];
	const errors: unknown[] = [];
	const loop = createEventLoop({
		handle(event) {
			handled.push(event.kind === 'want' ? event.service : event.kind);
			handle(event, next => {
				loop.offer(next);
			});
		},
		nextTickAt,
		now,
		onError(error) {
			errors.push(error);
		},
	});
	return {loop, handled, errors};
}

test('an error in one event is reported, and the events after it are handled', async () => {
	const {loop, handled, errors} = startLoop(event => {
		if (event.kind === 'want' && event.service === 'bad') {
			throw new Error('unexpected');
		}
	});
	loop.offer(want('bad'));
	loop.offer(want('good'));
	await sleep(10);
	loop.offer(want('later'));
	await sleep(10);
	loop.close({kind: 'farewell'});
	expect(errors.length).toEqual(1);
	expect(handled).toEqual(['tick', 'bad', 'good', 'later', 'farewell']);
});

test('an event offered by a handler waits until the current one is done', async () => {
	const {loop, handled} = startLoop((event, offer) => {
		if (event.kind === 'want' && event.service === 'first') {
			offer(want('second'));
			expect(handled.at(-1)).toEqual('first');
		}
	});
	loop.offer(want('first'));
	await sleep(10);
	loop.close({kind: 'farewell'});
	expect(handled).toEqual(['tick', 'first', 'second', 'farewell']);
});

test('an earlier tick replaces a later one, and nothing follows the end', async () => {
	let delay = 60_000;
	const {loop, handled} = startLoop(
		() => undefined,
		time => time + delay,
	);
	await sleep(10);
	delay = 20;
	loop.offer(want('urgent'));
	await sleep(200);
	const ticks = handled.filter(kind => kind === 'tick').length;
	loop.close({kind: 'farewell'});
	const atEnd = handled.length;
	loop.offer(want('too late'));
	await sleep(60);
	expect(ticks).toBeGreaterThan(2);
	expect(handled.length).toEqual(atEnd);
	expect(handled.at(-1)).toEqual('farewell');
});
