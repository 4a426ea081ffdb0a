/** The order of waiting and what is refused, in small tables. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	changeSlots,
	chooseRetryAfter,
	compareWork,
	createQueue,
	endWork,
	offerOutcomes,
	offerWork,
	reportSlowdown,
	takeTurns,
	withdrawWork,
} from '../../src/waiting/index.js';
import {createWork} from './simulated-server.js';

function createFreshQueue(slots: number) {
	const queue = createQueue(slots);
	reportSlowdown(queue.pace, 1, 0);
	return queue;
}

test('work starts only once the speed of the server is known', () => {
	const queue = createQueue(2);
	offerWork(queue, createWork('a', 0), 0);
	expect(takeTurns(queue, 0)).toEqual({
		started: [],
		late: [],
		wantsReport: true,
		holds: false,
	});
	reportSlowdown(queue.pace, 1, 1);
	expect(takeTurns(queue, 1).started).toEqual(['a']);
});

test('a server that answers without its speed is asked once', () => {
	const queue = createQueue(2);
	reportSlowdown(queue.pace, undefined, 0);
	offerWork(queue, createWork('a', 500), 500);
	expect(takeTurns(queue, 500).started).toEqual(['a']);
});

test('a slow report after a quiet time is a slow piece, not the pace of the server', () => {
	const queue = createFreshQueue(2);
	reportSlowdown(queue.pace, 5, 900);
	offerWork(queue, createWork('a', 900), 900);
	const turn = takeTurns(queue, 900);
	expect([turn.started, turn.holds]).toEqual([[], true]);
});

test('a slowness that lasts is the pace of the server', () => {
	const queue = createFreshQueue(2);
	for (let now = 900; now < 1500; now += 20) {
		reportSlowdown(queue.pace, 3, now);
	}

	offerWork(queue, createWork('a', 1480), 1480);
	expect(takeTurns(queue, 1480).started).toEqual(['a']);
});

test('calls of running requests go first, then rank, then the earlier target', () => {
	const always = () => true;
	const works = [
		createWork('late', 5),
		createWork('early', 1),
		createWork('urgent', 9, {rank: 0}),
		createWork('nested', 9, {nested: true, rank: 2}),
	];
	const order = works.toSorted((left, right) => compareWork(left, right, always));
	expect(order.map(({id}) => id)).toEqual(['nested', 'urgent', 'early', 'late']);
});

test('what cannot be on time any more yields to what can', () => {
	const isOnTime = ({id}: {id: string}) => id === 'hopeful';
	const works = [createWork('late', 0, {rank: 0}), createWork('hopeful', 5)];
	const order = works.toSorted((left, right) => compareWork(left, right, isOnTime));
	expect(order.map(({id}) => id)).toEqual(['hopeful', 'late']);
});

test('a slot that comes free goes to what waits', () => {
	const queue = createFreshQueue(1);
	offerWork(queue, createWork('a', 0), 0);
	offerWork(queue, createWork('b', 0), 0);
	expect(takeTurns(queue, 0).started).toEqual(['a']);
	expect(endWork(queue, 'a', {whole: true}, 4).started).toEqual(['b']);
});

test('what cannot be answered in time is refused at once', () => {
	const queue = createFreshQueue(1);
	const offer = offerWork(queue, createWork('a', 0, {deadlineAt: 20}), 0);
	expect(offer.outcome).toEqual(offerOutcomes.tooLate);
	expect(queue.waiting.size).toEqual(0);
});

test('what waited until no answer can come in time is given back as late', () => {
	const queue = createFreshQueue(1);
	offerWork(queue, createWork('a', 0), 0);
	takeTurns(queue, 0);
	offerWork(queue, createWork('b', 0, {deadlineAt: 300}), 0);
	expect(takeTurns(queue, 290).late).toEqual(['b']);
});

test('a withdrawn request never starts', () => {
	const queue = createFreshQueue(1);
	offerWork(queue, createWork('a', 0), 0);
	expect(withdrawWork(queue, 'a')).toEqual(true);
	expect(takeTurns(queue, 0).started).toEqual([]);
});

test('a server that takes nothing new starts nothing', () => {
	const queue = createFreshQueue(1);
	offerWork(queue, createWork('a', 0), 0);
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
