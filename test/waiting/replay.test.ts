/** Load patterns replayed against the gate's own decisions, in simulated time. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../../src/load/random.js';
import {
	calmModel,
	computeOnTimeShare,
	createPoissonArrivals,
	createRequest,
	simulate,
} from './simulated-server.js';

const seed = 20_261_204;

const noisy = {...calmModel, slowShare: 0.3, slowFactor: 5};

function createSearches(perSecond: number, random: () => number) {
	return createPoissonArrivals(perSecond, 30_000, random, (id, at) => ({
		request: createRequest(id, at),
		duration: 90 + random() * 60,
	}));
}

test('work is held back in slow pieces, so that nine in ten are answered on time', () => {
	const random = createRandom(seed);
	const {ends} = simulate(noisy, createSearches(25, random), random);
	expect(computeOnTimeShare(ends)).toBeGreaterThanOrEqual(0.9);
});

test('without the speed a quarter of the same work is late', () => {
	const random = createRandom(seed);
	const blind = {...noisy, tellsSpeed: false};
	const {ends} = simulate(blind, createSearches(25, random), random);
	expect(computeOnTimeShare(ends)).toBeLessThanOrEqual(0.75);
});

test('a server that is slow for good is not waited for', () => {
	const random = createRandom(seed);
	const slow = {...calmModel, slowShare: 1, slowFactor: 2};
	const {ends} = simulate(slow, createSearches(10, random), random);
	expect(computeOnTimeShare(ends)).toBeGreaterThanOrEqual(0.9);
});

test('a cold server is used at its own pace, and its slow pieces are still waited out', () => {
	const random = createRandom(seed);
	const cold = {...noisy, baseSlowdown: 2};
	const {ends} = simulate(cold, createSearches(12, random), random);
	expect(computeOnTimeShare(ends)).toBeGreaterThan(0.75);
});

test('the limit settles below the knee of a server that grows slow when nearly full', () => {
	const random = createRandom(seed);
	const kneed = {...calmModel, knee: 7, kneeFactor: 1.7};
	const {state} = simulate(kneed, createSearches(55, random), random);
	expect(state.limit).toEqual(7);
});

test('a server without a knee keeps all its slots under the same load', () => {
	const random = createRandom(seed);
	const {state} = simulate(calmModel, createSearches(80, random), random);
	expect(state.limit).toEqual(9);
});

test('under twice the load what can still be on time goes first, and nothing waits in vain', () => {
	const random = createRandom(seed);
	const {ends} = simulate(calmModel, createSearches(150, random), random);
	expect(computeOnTimeShare(ends)).toBeGreaterThanOrEqual(0.35);
	const answeredLate = ends.filter(
		({request: work, end, at}) => end === 'answered' && at > work.deadlineAt + 200,
	);
	expect(answeredLate).toEqual([]);
});

test('urgent work is on time while a flood of less urgent work fills the server', () => {
	const random = createRandom(seed);
	const flood = createSearches(120, random);
	const urgent = createPoissonArrivals(6, 30_000, random, (id, at) => ({
		request: createRequest(`urgent-${id}`, at, {
			rank: 0,
			route: 'payment',
			targetMilliseconds: 250,
		}),
		duration: 100,
	}));
	const {ends} = simulate(calmModel, [...flood, ...urgent], random);
	const ofUrgent = ends.filter(({request: work}) => work.rank === 0);
	expect(computeOnTimeShare(ofUrgent)).toBeGreaterThanOrEqual(0.9);
});
