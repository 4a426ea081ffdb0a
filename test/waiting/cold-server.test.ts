/** Cold servers under full load, in simulated time. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../../src/load/random.js';
import {
	changeColdLimit,
	changeStartRate,
	createQueue,
	estimateWait,
	findHopeless,
	offerRequest,
	assignSlots,
	recordCold,
	recordSlowdown,
	type QueueState,
} from '../../src/waiting/index.js';
import {
	calmModel,
	createPoissonArrivals,
	createRequest,
	simulate,
	type ServerModel,
} from './simulated-server.js';

const coldRequestsPerSecond = 10;
const coldMilliseconds = 8000;
const secondMilliseconds = 1000;
/** What a cold server may get in any second: one and a half times its rate, and eight more. */
const allowedInSecond = 1.5 * coldRequestsPerSecond + 8;
const coldModel: ServerModel = {
	...calmModel,
	coldRequestsPerSecond,
	coldMilliseconds,
};

function floodColdServer(model: ServerModel) {
	const random = createRandom(20_261_204);
	const arrivals = createPoissonArrivals(90, 12_000, random, (id, at) => ({
		request: createRequest(id, at),
		duration: 90 + random() * 60,
	}));
	return simulate(model, arrivals, random);
}

function countBusiestSecond(starts: readonly number[]): number {
	return Math.max(
		...starts.map(
			from => starts.filter(at => at >= from && at < from + secondMilliseconds).length,
		),
	);
}

test('a cold server gets work from the first second, and never more than it bears', () => {
	const {starts} = floodColdServer(coldModel);
	const cold = starts.filter(at => at < coldMilliseconds);
	expect(countBusiestSecond(cold)).toBeLessThanOrEqual(allowedInSecond);
	const first = cold.filter(at => at < secondMilliseconds).length;
	expect(first).toBeGreaterThanOrEqual(coldRequestsPerSecond * 0.8);
	const expected = (coldRequestsPerSecond * coldMilliseconds) / secondMilliseconds;
	expect(cold.length).toBeGreaterThanOrEqual(expected * 0.9);
});

test('a server gets its full load once its time as a cold one is over', () => {
	const {starts} = floodColdServer(coldModel);
	const warm = starts.filter(
		at => at >= coldMilliseconds && at < coldMilliseconds + secondMilliseconds,
	);
	expect(warm.length).toBeGreaterThan(4 * coldRequestsPerSecond);
});

test('requests that a cold server has no room for are refused when they come', () => {
	const {ends} = floodColdServer(coldModel);
	const refused = ends.filter(
		({end, at}) => end === 'refused' && at < coldMilliseconds - secondMilliseconds,
	);
	const atOnce = refused.filter(({request, at}) => at === request.arrivedAt);
	// The others had room, but were overtaken by requests that can still be on time.
	expect(atOnce.length).toBeGreaterThanOrEqual(0.85 * refused.length);
	expect(refused.length).toBeGreaterThan(0);
});

test('without a rate for cold servers the load is the same as for warm ones', () => {
	const unlimited = {...coldModel, coldRequestsPerSecond: Number.POSITIVE_INFINITY};
	const {starts} = floodColdServer(unlimited);
	expect(starts).toEqual(floodColdServer(calmModel).starts);
});

function createColdQueue(): QueueState {
	const queue = createQueue(9);
	recordSlowdown(queue.speed, 1, 0);
	changeColdLimit(queue.startRate, {coldRequestsPerSecond: 4}, 0);
	return queue;
}

function listStarts(queue: QueueState, count: number): number[] {
	for (let index = 0; index < count; index += 1) {
		offerRequest(queue, createRequest(`request-${index}`, 0, {deadlineAt: 9000}), 0);
	}

	const starts: number[] = [];
	for (let now = 0; now <= 2000; now += 50) {
		recordSlowdown(queue.speed, 1, now);
		starts.push(...assignSlots(queue, now).started.map(() => now));
	}

	return starts;
}

test('the lower of the limits holds while the server is cold, then the one that it names', () => {
	const queue = createColdQueue();
	changeStartRate(queue.startRate, 2, 0);
	recordCold(queue, {milliseconds: 5000, mayBeLate: false}, 0);
	expect(listStarts(queue, 3)).toEqual([500, 1000, 1500]);
	const named = createColdQueue();
	changeStartRate(named.startRate, 8, 0);
	recordCold(named, {milliseconds: 1000, mayBeLate: false}, 0);
	expect(listStarts(named, 6)).toEqual([250, 500, 750, 1000, 1150, 1250]);
});

test('the wait at a cold server ends with its time as a cold one', () => {
	const queue = createColdQueue();
	recordCold(queue, {milliseconds: 100, mayBeLate: false}, 0);
	expect(estimateWait(queue, createRequest('a', 0), 0)).toEqual(100);
	expect(estimateWait(queue, createRequest('a', 100), 100)).toEqual(0);
});

test('a statement that may be late does not shorten the time for which a server is cold', () => {
	const queue = createColdQueue();
	recordCold(queue, {milliseconds: 4000, mayBeLate: false}, 0);
	recordCold(queue, {milliseconds: 0, mayBeLate: true}, 10);
	expect(queue.startRate.requestsPerSecond).toEqual(4);
	recordCold(queue, {milliseconds: 0, mayBeLate: false}, 20);
	expect(queue.startRate.requestsPerSecond).toEqual(Number.POSITIVE_INFINITY);
});

test('requests that wait while the server turns cold are refused at once if they are too many', () => {
	const queue = createColdQueue();
	for (let index = 0; index < 30; index += 1) {
		offerRequest(queue, createRequest(`request-${index}`, 0), 0);
	}

	recordCold(queue, {milliseconds: 5000, mayBeLate: false}, 0);
	const hopeless = findHopeless(queue, 0);
	// Of 1000 ms, 3 starts leave time for a response.
	expect(queue.waiting.size - hopeless.length).toEqual(3);
	expect(hopeless.every(({waitMilliseconds}) => waitMilliseconds > 0)).toEqual(true);
});
