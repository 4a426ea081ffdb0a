/** The choice of a server. */
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	updateServers,
	attemptEnds,
	balancingAlgorithms,
	chooseServer,
	createLoadView,
	findServer,
	recordResult,
	recordSent,
	recordReport,
	type LoadReport,
	type LoadView,
	type ServiceView,
} from '../../src/routing/index.js';
import {
	createCandidates,
	createRandom,
	createRequest,
	location,
	policy,
} from './support.js';

const seed = 20_261_204;
const full: LoadReport = {inFlight: 10, queued: 5, serviceMilliseconds: 10, slots: 10};
const lightlyLoaded: LoadReport = {
	inFlight: 1,
	queued: 0,
	serviceMilliseconds: 10,
	slots: 10,
};

function createFixture(
	near: number,
	far: number,
): {view: LoadView; service: ServiceView} {
	const view = createLoadView(location);
	const candidates = [
		...createCandidates(near),
		...createCandidates(far, 'island', 'far'),
	];
	return {view, service: updateServers(view, 'booking', candidates, 0)};
}

function report(service: ServiceView, nodeId: string, load: LoadReport, now = 0): void {
	recordReport(service, findServer(service, nodeId)!, load, now);
}

/** Chooses many times, without requests in flight, and counts how often each server is chosen. */
function countChoices(
	fixture: {view: LoadView; service: ServiceView},
	times: number,
	change: Parameters<typeof createRequest>[0] = {},
): Map<string, number> {
	const counts = new Map<string, number>();
	const request = createRequest(change);
	for (let index = 0; index < times; index += 1) {
		const server = chooseServer(fixture.view, fixture.service, request, 1);
		const name = server?.nodeId ?? 'none';
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return counts;
}

test('a near server with a free slot is preferred to any far server', () => {
	const fixture = createFixture(3, 3);
	report(fixture.service, 'near-0', full);
	report(fixture.service, 'near-1', full);
	report(fixture.service, 'near-2', lightlyLoaded);
	expect([...countChoices(fixture, 100).keys()]).toEqual(['near-2']);
});

test('far servers are used when near ones are full, up to the cross-region byte budget', () => {
	const fixture = createFixture(2, 2);
	report(fixture.service, 'near-0', full);
	report(fixture.service, 'near-1', full);
	report(fixture.service, 'far-0', lightlyLoaded);
	report(fixture.service, 'far-1', lightlyLoaded);
	const counts = countChoices(fixture, 100);
	const far = (counts.get('far-0') ?? 0) + (counts.get('far-1') ?? 0);
	expect(far).toEqual(policy.crossRegionBytesPerSecond / 1000);
});

const rankCases = [
	{rankIndex: 0, far: 10},
	{rankIndex: 1, far: 6},
	{rankIndex: 2, far: 3},
];

for (const row of rankCases) {
	test(`rank ${row.rankIndex} leaves more urgent ranks their share of the cross-region budget`, () => {
		const fixture = createFixture(0, 2);
		const counts = countChoices(fixture, 50, {rankIndex: row.rankIndex});
		expect(50 - (counts.get('none') ?? 0)).toEqual(row.far);
	});
}

test('the faster of two near servers with free slots is chosen', () => {
	const fixture = createFixture(2, 0);
	report(fixture.service, 'near-0', {...lightlyLoaded, serviceMilliseconds: 50});
	report(fixture.service, 'near-1', lightlyLoaded);
	expect([...countChoices(fixture, 20).keys()]).toEqual(['near-1']);
});

test('a server that fails immediately gets no more than its fair share', () => {
	const fixture = createFixture(4, 0);
	const random = createRandom(11);
	const sent = new Map<string, number>();
	for (let now = 0; now < 4000; now += 1) {
		const request = createRequest({random});
		const server = chooseServer(fixture.view, fixture.service, request, now)!;
		sent.set(server.nodeId, (sent.get(server.nodeId) ?? 0) + 1);
		recordSent(server, now);
		const isFailing = server.nodeId === 'near-0';
		recordResult(
			fixture.service,
			server,
			isFailing
				? {
						end: attemptEnds.failed,
						latencyMilliseconds: 1,
						report: {...lightlyLoaded, inFlight: 0},
					}
				: {end: attemptEnds.answered, latencyMilliseconds: 10, report: lightlyLoaded},
			now,
		);
	}

	expect(sent.get('near-0') ?? 0).toBeLessThanOrEqual(1000);
});

test('a server that does not respond loses new requests before its next report', () => {
	const fixture = createFixture(2, 0);
	report(fixture.service, 'near-0', {...lightlyLoaded, inFlight: 0});
	report(fixture.service, 'near-1', lightlyLoaded);
	recordSent(findServer(fixture.service, 'near-0')!, 1);
	const server = chooseServer(fixture.view, fixture.service, createRequest(), 90);
	expect(server?.nodeId).toEqual('near-1');
});

test("a report below the node's own count of requests in flight lowers reliability", () => {
	const fixture = createFixture(1, 0);
	const server = findServer(fixture.service, 'near-0')!;
	for (let copy = 0; copy < 8; copy += 1) {
		recordSent(server, 0);
	}

	const before = server.reportReliability;
	report(fixture.service, 'near-0', {...lightlyLoaded, inFlight: 0});
	expect(server.reportReliability).toBeLessThan(before);
});

test('reports that do not change while requests are sent lower reliability', () => {
	const fixture = createFixture(1, 0);
	const server = findServer(fixture.service, 'near-0')!;
	const before = server.reportReliability;
	for (let copy = 0; copy < 12; copy += 1) {
		recordSent(server, 0);
		report(fixture.service, 'near-0', {...lightlyLoaded, inFlight: 20});
	}

	expect(server.reportReliability).toBeLessThan(before / 2);
});

test('a server that joins later starts with a small share of requests', () => {
	const view = createLoadView(location);
	updateServers(view, 'booking', createCandidates(3), 0);
	const service = updateServers(view, 'booking', createCandidates(4), 1000);
	const request = createRequest({random: createRandom(3)});
	let chosen = 0;
	for (let index = 0; index < 1000; index += 1) {
		chosen += chooseServer(view, service, request, 1001)?.nodeId === 'near-3' ? 1 : 0;
	}

	expect(chosen).toBeGreaterThan(0);
	expect(chosen).toBeLessThan(150);
});

test('no algorithm chooses an excluded server, and each finds one that is not excluded', () => {
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 8}),
			fc.array(fc.nat(7)),
			fc.constantFrom(...Object.values(balancingAlgorithms)),
			fc.integer(),
			(count, excludedIndexes, choice, randomSeed) => {
				const fixture = createFixture(count, 0);
				const excluded = new Set(excludedIndexes.map(index => `near-${index}`));
				const request = createRequest({
					policy: {...policy, choice},
					excluded,
					random: createRandom(randomSeed),
				});
				const server = chooseServer(fixture.view, fixture.service, request, 1);
				const left = fixture.service.servers.filter(one => !excluded.has(one.nodeId));
				expect(server === undefined).toEqual(left.length === 0);
				expect(server !== undefined && excluded.has(server.nodeId)).toEqual(false);
			},
		),
		{seed, numRuns: 300},
	);
});

test('no more than the configured share of servers is ejected', () => {
	const step = fc.record({
		bad: fc.nat(9),
		latency: fc.integer({min: 1, max: 500}),
		end: fc.constantFrom(...Object.values(attemptEnds)),
		elapsed: fc.nat(400),
	});
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 10}),
			fc.integer({min: 0, max: 100}),
			fc.array(step, {maxLength: 200}),
			(count, percent, steps) => {
				const fixture = createFixture(count, 0);
				const share = percent / 100;
				const random = createRandom(count);
				const request = createRequest({
					policy: {...policy, ejectionShare: share},
					random,
				});
				let now = 0;
				for (const {bad, latency, end, elapsed} of steps) {
					now += elapsed;
					const server = chooseServer(fixture.view, fixture.service, request, now)!;
					const isBad = server.nodeId === `near-${bad}`;
					const result = isBad
						? {end, latencyMilliseconds: latency}
						: {end: attemptEnds.answered, latencyMilliseconds: 5};
					recordSent(server, now);
					recordResult(fixture.service, server, result, now);
					const ejected = fixture.service.servers.filter(
						one => one.ejection.ejectedUntil !== undefined,
					);
					expect(ejected.length).toBeLessThanOrEqual(Math.floor(count * share));
				}
			},
		),
		{seed, numRuns: 200},
	);
});

test('a successful response after the ejection time readmits a server', () => {
	const fixture = createFixture(4, 0);
	const bad = findServer(fixture.service, 'near-0')!;
	for (let copy = 0; copy < 20; copy += 1) {
		recordSent(bad, 0);
		recordResult(
			fixture.service,
			bad,
			{end: attemptEnds.failed, latencyMilliseconds: 1},
			0,
		);
	}

	expect(countChoices(fixture, 200).has('near-0')).toEqual(false);
	expect(bad.ejection.ejectedUntil).not.toEqual(undefined);
	const later = bad.ejection.ejectedUntil! + 1;
	recordSent(bad, later);
	const good = {end: attemptEnds.answered, latencyMilliseconds: 5};
	recordResult(fixture.service, bad, good, later);
	expect(bad.ejection.ejectedUntil).toEqual(undefined);
});
