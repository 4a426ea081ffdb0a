/** The choice of a gate for a request, by load, failures, distance and body size. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../../src/load/random.js';
import {
	createFailureRate,
	currentFailureShare,
	distances,
	isGoodEnough,
	recordAttemptResult,
	scoreGates,
	shouldQueryRemoteGates,
	type Candidate,
	type GateReport,
	type PlacementRequest,
} from '../../src/placing/index.js';

const costs = {perKilobyteBetweenDomains: 0.01, perKilobyteBetweenRegions: 0.05};
const smallRequest: PlacementRequest = {
	targetMilliseconds: 400,
	deadlineMilliseconds: 1000,
	bytes: 1500,
};
const upload: PlacementRequest = {
	...smallRequest,
	targetMilliseconds: 800,
	bytes: 60_000,
};

const idleReport: GateReport = {
	accepting: true,
	waitMilliseconds: 0,
	durationMilliseconds: 130,
	failureShare: 0,
};

function createCandidate(
	nodeId: string,
	distance: Candidate['distance'],
	patch: Partial<GateReport> | undefined,
): Candidate {
	return {
		nodeId,
		distance,
		report: patch && {...idleReport, ...patch},
		roundTripMilliseconds: distance === distances.remote ? 16 : 1,
	};
}

type Case = {
	readonly name: string;
	readonly candidates: readonly Candidate[];
	readonly placement?: PlacementRequest;
	readonly order: readonly string[];
};

const cases: readonly Case[] = [
	{
		name: 'a fast server of another failure domain comes before one in a slow period',
		candidates: [
			createCandidate('slow', distances.failureDomain, {waitMilliseconds: 300}),
			createCandidate('fast', distances.region, {}),
		],
		order: ['fast', 'slow'],
	},
	{
		name: 'for a small request another region with free slots comes before a full one',
		candidates: [
			createCandidate('full', distances.failureDomain, {waitMilliseconds: 500}),
			createCandidate('far', distances.remote, {}),
		],
		order: ['far', 'full'],
	},
	{
		name: 'another region that promises only a little more comes after the own one',
		candidates: [
			createCandidate('near', distances.failureDomain, {waitMilliseconds: 180}),
			createCandidate('far', distances.remote, {waitMilliseconds: 120}),
		],
		order: ['near', 'far'],
	},
	{
		name: 'a large upload stays in the own region although it waits',
		candidates: [
			createCandidate('full', distances.failureDomain, {waitMilliseconds: 500}),
			createCandidate('far', distances.remote, {}),
		],
		placement: upload,
		order: ['full', 'far'],
	},
	{
		name: 'an idle server that fails half of its requests comes after a busy one',
		candidates: [
			createCandidate('failing', distances.failureDomain, {failureShare: 0.5}),
			createCandidate('busy', distances.region, {waitMilliseconds: 60}),
		],
		order: ['busy', 'failing'],
	},
	{
		name: 'a gate that does not accept requests is left out',
		candidates: [
			createCandidate('leaving', distances.own, {accepting: false}),
			createCandidate('other', distances.region, {}),
		],
		order: ['other'],
	},
	{
		name: 'a gate that did not answer comes last',
		candidates: [
			createCandidate('silent', distances.own, undefined),
			createCandidate('overdue', distances.region, {waitMilliseconds: 5000}),
		],
		order: ['overdue', 'silent'],
	},
	{
		name: 'of two gates with equal scores the one that responds sooner comes first',
		candidates: [
			createCandidate('later', distances.region, {waitMilliseconds: 4}),
			createCandidate('sooner', distances.region, {}),
		],
		order: ['sooner', 'later'],
	},
];
for (const {name, candidates, placement, order} of cases) {
	test(name, () => {
		const scored = scoreGates(candidates, placement ?? smallRequest, costs);
		expect(scored.map(({nodeId}) => nodeId)).toEqual([...order]);
	});
}

test('a near gate with a free slot is chosen without querying others', () => {
	const [scored] = scoreGates(
		[createCandidate('near', distances.failureDomain, {})],
		smallRequest,
		costs,
	);
	expect(isGoodEnough(scored!)).toEqual(true);
	expect(shouldQueryRemoteGates(scored, smallRequest, costs)).toEqual(false);
});

test('remote gates are queried when the near ones would miss the target, unless the body is large', () => {
	const full = createCandidate('near', distances.failureDomain, {waitMilliseconds: 500});
	const [scored] = scoreGates([full], smallRequest, costs);
	expect(shouldQueryRemoteGates(scored, smallRequest, costs)).toEqual(true);
	expect(shouldQueryRemoteGates(scored, upload, costs)).toEqual(false);
});

test('the failure share decays, so that a server is tried again', () => {
	const failureRate = createFailureRate();
	for (let count = 0; count < 20; count += 1) {
		recordAttemptResult(failureRate, true, 0);
	}

	expect(currentFailureShare(failureRate, 0)).toBeGreaterThan(0.9);
	expect(currentFailureShare(failureRate, 8000)).toBeLessThan(0.1);
});

/**
 * Replays requests whose gates are all equally good, under estimates that are off by up to 30%, and
 * gives the share that is sent to another region.
 */
function replayEqualLoad(): number {
	const random = createRandom(5);
	const requests = 2000;
	let remote = 0;
	for (let count = 0; count < requests; count += 1) {
		const estimate = () => ({durationMilliseconds: 300 * (0.7 + 0.6 * random())});
		const [best] = scoreGates(
			[
				createCandidate('near-1', distances.failureDomain, estimate()),
				createCandidate('near-2', distances.region, estimate()),
				createCandidate('far-1', distances.remote, estimate()),
				createCandidate('far-2', distances.remote, estimate()),
			],
			smallRequest,
			costs,
		);
		remote += best!.distance === distances.remote ? 1 : 0;
	}

	return remote / requests;
}

test('where all regions are equally loaded, at most one request in ten leaves its region', () => {
	expect(replayEqualLoad()).toBeLessThan(0.1);
});
