/** Where a request goes, for the patterns of load and place that the decision answers. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	createFailureRate,
	distances,
	currentFailureShare,
	shouldQueryRemoteGates,
	isGoodEnough,
	recordAttemptResult,
	scoreGates,
	type Candidate,
	type GateReport,
	type PlacementRequest,
} from '../../src/placing/index.js';

const costs = {perKilobyteBetweenDomains: 0.01, perKilobyteBetweenRegions: 0.05};
const small: PlacementRequest = {
	targetMilliseconds: 400,
	deadlineMilliseconds: 1000,
	bytes: 1500,
};
const upload: PlacementRequest = {...small, targetMilliseconds: 800, bytes: 60_000};

const free: GateReport = {
	accepting: true,
	waitMilliseconds: 0,
	durationMilliseconds: 130,
	failureShare: 0,
};

function at(
	nodeId: string,
	distance: Candidate['distance'],
	patch: Partial<GateReport> | undefined,
): Candidate {
	return {
		nodeId,
		distance,
		report: patch && {...free, ...patch},
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
		name: 'a server in a slow piece loses to a quick one of another domain',
		candidates: [
			at('slow', distances.failureDomain, {waitMilliseconds: 300}),
			at('quick', distances.region, {}),
		],
		order: ['quick', 'slow'],
	},
	{
		name: 'a full region loses to a far one with room for small requests',
		candidates: [
			at('full', distances.failureDomain, {waitMilliseconds: 500}),
			at('far', distances.remote, {}),
		],
		order: ['far', 'full'],
	},
	{
		name: 'a large upload stays near although it waits',
		candidates: [
			at('full', distances.failureDomain, {waitMilliseconds: 500}),
			at('far', distances.remote, {}),
		],
		placement: upload,
		order: ['full', 'far'],
	},
	{
		name: 'a server that fails half of its requests looks idle and is left out',
		candidates: [
			at('failing', distances.failureDomain, {failureShare: 0.5}),
			at('busy', distances.region, {waitMilliseconds: 60}),
		],
		order: ['busy', 'failing'],
	},
	{
		name: 'a gate that takes nothing is not offered anything',
		candidates: [
			at('leaving', distances.own, {accepting: false}),
			at('other', distances.region, {}),
		],
		order: ['other'],
	},
	{
		name: 'a silent gate is the last resort',
		candidates: [
			at('silent', distances.own, undefined),
			at('hopeless', distances.region, {waitMilliseconds: 5000}),
		],
		order: ['hopeless', 'silent'],
	},
	{
		name: 'of two equal gates the one that answers sooner is taken',
		candidates: [
			at('later', distances.region, {waitMilliseconds: 4}),
			at('sooner', distances.region, {}),
		],
		order: ['sooner', 'later'],
	},
];
for (const {name, candidates, placement, order} of cases) {
	test(name, () => {
		const rated = scoreGates(candidates, placement ?? small, costs);
		expect(rated.map(({nodeId}) => nodeId)).toEqual([...order]);
	});
}

test('a free and quick near gate is taken without asking others', () => {
	const [rated] = scoreGates([at('near', distances.failureDomain, {})], small, costs);
	expect(isGoodEnough(rated!)).toEqual(true);
	expect(shouldQueryRemoteGates(rated, small, costs)).toEqual(false);
});

test('far gates are asked when the near ones would let the target pass', () => {
	const full = at('near', distances.failureDomain, {waitMilliseconds: 500});
	const [rated] = scoreGates([full], small, costs);
	expect(shouldQueryRemoteGates(rated, small, costs)).toEqual(true);
	expect(shouldQueryRemoteGates(rated, upload, costs)).toEqual(false);
});

test('failures fade, so that a server is tried again', () => {
	const failures = createFailureRate();
	for (let count = 0; count < 20; count += 1) {
		recordAttemptResult(failures, true, 0);
	}

	expect(currentFailureShare(failures, 0)).toBeGreaterThan(0.9);
	expect(currentFailureShare(failures, 8000)).toBeLessThan(0.1);
});
