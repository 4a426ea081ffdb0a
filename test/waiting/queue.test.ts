/** The order of waiting and what is refused, in small tables. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	changeSlots,
	chooseRetryAfter,
	compareRequests,
	createQueue,
	finishRequest,
	offerOutcomes,
	offerRequest,
	recordSlowdown,
	assignSlots,
	withdrawRequest,
} from '../../src/waiting/index.js';
import {createRequest} from './simulated-server.js';

function createFreshQueue(slots: number) {
	const queue = createQueue(slots);
	recordSlowdown(queue.speed, 1, 0);
	return queue;
}

test('work starts only once the speed of the server is known', () => {
	const queue = createQueue(2);
	offerRequest(queue, createRequest('a', 0), 0);
	expect(assignSlots(queue, 0)).toEqual({
		started: [],
		tooLate: [],
		needsSpeedReport: true,
		isDeferring: false,
	});
	recordSlowdown(queue.speed, 1, 1);
	expect(assignSlots(queue, 1).started).toEqual(['a']);
});

test('a server that answers without its speed is asked once', () => {
	const queue = createQueue(2);
	recordSlowdown(queue.speed, undefined, 0);
	offerRequest(queue, createRequest('a', 500), 500);
	expect(assignSlots(queue, 500).started).toEqual(['a']);
});

test('a slow report after a quiet time is a slow piece, not the pace of the server', () => {
	const queue = createFreshQueue(2);
	recordSlowdown(queue.speed, 5, 900);
	offerRequest(queue, createRequest('a', 900), 900);
	const turn = assignSlots(queue, 900);
	expect([turn.started, turn.isDeferring]).toEqual([[], true]);
});

test('a slowness that lasts is the pace of the server', () => {
	const queue = createFreshQueue(2);
	for (let now = 900; now < 1500; now += 20) {
		recordSlowdown(queue.speed, 3, now);
	}

	offerRequest(queue, createRequest('a', 1480), 1480);
	expect(assignSlots(queue, 1480).started).toEqual(['a']);
});

test('calls of running requests go first, then rank, then the earlier target', () => {
	const always = () => true;
	const works = [
		createRequest('late', 5),
		createRequest('early', 1),
		createRequest('urgent', 9, {rank: 0}),
		createRequest('nested', 9, {nested: true, rank: 2}),
	];
	const order = works.toSorted((left, right) => compareRequests(left, right, always));
	expect(order.map(({id}) => id)).toEqual(['nested', 'urgent', 'early', 'late']);
});

test('what cannot be on time any more yields to what can', () => {
	const isOnTime = ({id}: {id: string}) => id === 'hopeful';
	const works = [createRequest('late', 0, {rank: 0}), createRequest('hopeful', 5)];
	const order = works.toSorted((left, right) => compareRequests(left, right, isOnTime));
	expect(order.map(({id}) => id)).toEqual(['hopeful', 'late']);
});

test('a slot that comes free goes to what waits', () => {
	const queue = createFreshQueue(1);
	offerRequest(queue, createRequest('a', 0), 0);
	offerRequest(queue, createRequest('b', 0), 0);
	expect(assignSlots(queue, 0).started).toEqual(['a']);
	expect(finishRequest(queue, 'a', {isComplete: true}, 4).started).toEqual(['b']);
});

test('what cannot be answered in time is refused at once', () => {
	const queue = createFreshQueue(1);
	const offer = offerRequest(queue, createRequest('a', 0, {deadlineAt: 20}), 0);
	expect(offer.outcome).toEqual(offerOutcomes.tooLate);
	expect(queue.waiting.size).toEqual(0);
});

test('what waited until no answer can come in time is given back as late', () => {
	const queue = createFreshQueue(1);
	offerRequest(queue, createRequest('a', 0), 0);
	assignSlots(queue, 0);
	offerRequest(queue, createRequest('b', 0, {deadlineAt: 300}), 0);
	expect(assignSlots(queue, 290).tooLate).toEqual(['b']);
});

test('a withdrawn request never starts', () => {
	const queue = createFreshQueue(1);
	offerRequest(queue, createRequest('a', 0), 0);
	expect(withdrawRequest(queue, 'a')).toEqual(true);
	expect(assignSlots(queue, 0).started).toEqual([]);
});

test('a server that takes nothing new starts nothing', () => {
	const queue = createFreshQueue(1);
	offerRequest(queue, createRequest('a', 0), 0);
	expect(changeSlots(queue, 0, 0).started).toEqual([]);
});

const pauses: ReadonlyArray<readonly [number, number, number, number]> = [
	// Wait, time left, random, pause.
	[100, 900, 0.5, 100],
	[100, 900, 0, 75],
	[100, 900, 1, 125],
	[1, 900, 0.5, 20],
	[5000, 900, 0.5, 300],
	[100, -5, 0.5, 0],
];
for (const [wait, left, random, pause] of pauses) {
	test(`a wait of ${wait} ms with ${left} ms left at ${random} returns after ${pause} ms`, () => {
		expect(Math.round(chooseRetryAfter(wait, left, random))).toEqual(pause);
	});
}
