/**
 * Leaving the failure domain: single decisions, and replays of two and six domains in which each
 * domain sees the others only after a delay. Deterministic; the time of the replays is simulated.
 */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../../src/load/random.js';
import {
	chargeForRoom,
	createLeavingShare,
	decideLeaving,
	distances,
	doubtOfReport,
	mergeReport,
	recordOwnRoom,
	scoreGates,
	type Destination,
	type Distance,
	type DomainView,
	type GateReport,
	type LeavingReason,
	type LeavingShare,
} from '../../src/placing/index.js';

const costs = {perKilobyteBetweenDomains: 0.01, perKilobyteBetweenRegions: 0.05};
const placement = {targetMilliseconds: 800, deadlineMilliseconds: 3000, bytes: 1500};
const free: GateReport = {
	accepting: true,
	waitMilliseconds: 0,
	durationMilliseconds: 150,
	failureShare: 0,
};

function scoreOwn(waitMilliseconds: number, request = placement) {
	const report = {...free, waitMilliseconds};
	const distance = distances.failureDomain;
	return scoreGates(
		[{nodeId: 'own', distance, report, roundTripMilliseconds: 1}],
		request,
		costs,
	)[0]!;
}

function createDestination(
	distance: Distance,
	roundTripMilliseconds: number,
	patch: Partial<Destination> = {},
): Destination {
	return {
		failureDomain: 'other',
		distance,
		roundTripMilliseconds,
		view: undefined,
		hasLinkRoom: true,
		...patch,
	};
}

const sibling = createDestination(distances.region, 3);
const remote = createDestination(distances.remote, 60);
const fullView: DomainView = {
	waitMilliseconds: 900,
	durationMilliseconds: 150,
	failureShare: 0,
	heardAt: 1000,
};

type Case = {
	readonly name: string;
	/** Wait in the own failure domain; undefined if it has no gate. */
	readonly wait: number | undefined;
	readonly destination: Destination;
	readonly request?: typeof placement;
	readonly reason: LeavingReason;
};

const cases: readonly Case[] = [
	{name: 'a short wait', wait: 30, destination: sibling, reason: 'no-gain'},
	{name: 'a late response', wait: 900, destination: sibling, reason: 'gain'},
	{name: 'a late response, far away', wait: 900, destination: remote, reason: 'gain'},
	{name: 'no server', wait: undefined, destination: remote, reason: 'no-room'},
	{name: 'no response in time', wait: 6000, destination: sibling, reason: 'no-room'},
	{
		name: 'a large download',
		wait: 900,
		destination: remote,
		request: {...placement, bytes: 60_000},
		reason: 'no-gain',
	},
	{
		name: 'a round trip as long as the target',
		wait: 900,
		destination: createDestination(distances.remote, 500),
		reason: 'no-gain',
	},
	{
		name: 'other domains as full',
		wait: 900,
		destination: {...sibling, view: fullView},
		reason: 'no-gain',
	},
	{
		name: 'a full link',
		wait: 900,
		destination: {...remote, hasLinkRoom: false},
		reason: 'link-full',
	},
];

for (const {name, wait, destination, request = placement, reason} of cases) {
	test(`with ${name}: ${reason}`, () => {
		const own = wait === undefined ? undefined : scoreOwn(wait, request);
		const question = {own, destinations: [destination], placement: request, costs};
		const decision = decideLeaving(createLeavingShare(1000), question, 1000, 0.1);
		expect(decision.reason).toEqual(reason);
		const leaves = reason === 'gain' || reason === 'no-room';
		expect(decision.failureDomains).toEqual(leaves ? ['other'] : []);
	});
}

test('the share rises and falls by at most half of the difference for each view', () => {
	const state = createLeavingShare(0);
	const question = {own: scoreOwn(900), destinations: [sibling], placement, costs};
	const shares = [0, 1, 2].map(
		index => decideLeaving(state, question, index * 5000, 0.9).share,
	);
	expect(shares).toEqual([0.5, 0.75, 0.875]);
	recordOwnRoom(state, 20_000);
	expect(state.share).toEqual(0.4375);
});

test('a gate with waiting callers of its own is charged for the room', () => {
	const idle = scoreOwn(0);
	const busy = scoreOwn(200);
	expect(chargeForRoom(idle, placement).score).toEqual(idle.score);
	expect(chargeForRoom(busy, placement).score).toBeLessThan(busy.score - 0.09);
	expect(doubtOfReport(1, 800)).toBeLessThan(0.01);
	expect(doubtOfReport(200, 800)).toEqual(0.1);
});

const stepMilliseconds = 10;
const serviceMilliseconds = 150;
const nodesPerDomain = 4;
const slots = 40;

type ReplayDomain = {
	queue: number;
	running: number[];
	/** Queue lengths of the past, newest last; others see them late. */
	readonly past: number[];
	readonly load: number;
	credit: number;
	readonly nodes: Array<{share: LeavingShare; views: Map<number, DomainView>}>;
};

type Replay = {
	readonly loads: readonly number[];
	readonly roundTripMilliseconds: number;
	readonly distance: Distance;
	/** Whether anything may leave. */
	readonly mayLeave: boolean;
};

const waitOf = (queue: number): number => (queue * serviceMilliseconds) / slots;

/** Chooses the domain for a call that arrives at one, as a node there would. */
function chooseDomain(
	domains: readonly ReplayDomain[],
	index: number,
	{roundTripMilliseconds, distance, mayLeave}: Replay,
	{now, random}: {readonly now: number; readonly random: () => number},
): number {
	const domain = domains[index]!;
	const node = domain.nodes[Math.floor(random() * nodesPerDomain)]!;
	const wait = waitOf(domain.queue);
	if (wait === 0) {
		recordOwnRoom(node.share, now);
	}

	if (wait === 0 || !mayLeave) {
		return index;
	}

	const own = scoreOwn(wait);
	const destinations = domains
		.map((_, number) =>
			createDestination(distance, roundTripMilliseconds, {
				failureDomain: String(number),
				view: node.views.get(number),
			}),
		)
		.filter((_, number) => number !== index);
	const question = {own, destinations, placement, costs};
	const decision = decideLeaving(node.share, question, now, random());
	let target = index;
	let bestScore = own.score;
	for (const name of decision.failureDomains.slice(0, 2)) {
		const number = Number(name);
		const delay = Math.ceil(roundTripMilliseconds / stepMilliseconds);
		const past = domains[number]!.past.at(-delay) ?? 0;
		const report = {...free, waitMilliseconds: waitOf(past)};
		node.views.set(number, mergeReport(node.views.get(number), report, now));
		const candidate = {nodeId: name, distance, report, roundTripMilliseconds};
		const [scored] = scoreGates([candidate], placement, costs);
		const {score} = chargeForRoom(scored!, placement);
		if (score > bestScore) {
			target = number;
			bestScore = score;
		}
	}

	return target;
}

/** Plays 20 s and returns what the second half shows. */
function replay(settings: Replay) {
	const {loads, roundTripMilliseconds} = settings;
	const random = createRandom(7);
	const domains: ReplayDomain[] = loads.map(load => ({
		queue: 0,
		running: [],
		past: [],
		load,
		credit: 0,
		nodes: Array.from({length: nodesPerDomain}, () => ({
			share: createLeavingShare(0),
			views: new Map<number, DomainView>(),
		})),
	}));
	const arriving: Array<{at: number; domain: ReplayDomain}> = [];
	const sent = domains.map(() => 0);
	const perSecond: number[] = [];
	const waits = domains.map(() => 0);
	let arrivals = 0;
	for (let now = 0; now < 20_000; now += stepMilliseconds) {
		for (const domain of domains) {
			domain.running = domain.running.filter(end => end > now);
		}

		for (const {domain} of arriving.filter(({at}) => at === now)) {
			domain.queue += 1;
		}

		for (const [index, domain] of domains.entries()) {
			domain.credit += (domain.load * slots * stepMilliseconds) / serviceMilliseconds;
			while (domain.credit >= 1) {
				domain.credit -= 1;
				const target = chooseDomain(domains, index, settings, {now, random});
				const second = Math.floor(now / 1000);
				perSecond[second] ??= 0;
				if (target === index) {
					domain.queue += 1;
				} else {
					perSecond[second] += 1;
					sent[index]! += 1;
					const way = 1.5 * roundTripMilliseconds;
					const at =
						now + Math.max(1, Math.ceil(way / stepMilliseconds)) * stepMilliseconds;
					arriving.push({at, domain: domains[target]!});
				}

				if (now >= 10_000) {
					arrivals += 1;
					waits[index]! += waitOf(domains[target]!.queue);
				}
			}
		}

		for (const domain of domains) {
			while (domain.queue > 0 && domain.running.length < slots) {
				domain.queue -= 1;
				domain.running.push(now + serviceMilliseconds);
			}

			domain.past.push(domain.queue);
		}
	}

	const longestQueues = domains.map(({past}) => Math.max(...past.slice(1000)));
	const flow = perSecond.slice(10);
	const meanFlow = flow.reduce((sum, count) => sum + count, 0) / flow.length;
	return {
		sent,
		longestQueues,
		meanFlow,
		spread: Math.max(...flow) - Math.min(...flow),
		meanWait: waits.reduce((sum, wait) => sum + wait, 0) / arrivals,
		arrivalsPerSecond: arrivals / 10,
	};
}

const layouts: ReadonlyArray<readonly [string, readonly number[], number, Distance]> = [
	['two near domains', [1.3, 0.5], 3, distances.region],
	['two regions', [1.3, 0.5], 60, distances.remote],
	['six domains', [1.3, 0.6, 0.6, 0.6, 0.6, 0.6], 16, distances.remote],
];

for (const [name, loads, roundTripMilliseconds, distance] of layouts) {
	const base = {loads, roundTripMilliseconds, distance};
	test(`replay of ${name}: the excess of one leaves steadily and waits less`, () => {
		const on = replay({...base, mayLeave: true});
		const off = replay({...base, mayLeave: false});
		const excess = 0.3 * slots * (1000 / serviceMilliseconds);
		expect(on.meanFlow).toBeGreaterThan(0.8 * excess);
		expect(on.meanFlow).toBeLessThan(1.4 * excess);
		expect(on.spread).toBeLessThan(0.5 * excess);
		expect(on.sent.slice(1).every(count => count === 0)).toEqual(true);
		expect(on.meanWait).toBeLessThan(off.meanWait / 2);
	});

	test(`replay of ${name}: where all are as full, next to nothing is sent to and fro`, () => {
		const full = replay({...base, loads: loads.map(() => 1.03), mayLeave: true});
		expect(full.meanFlow).toBeLessThan(0.05 * full.arrivalsPerSecond);
	});

	test(`replay of ${name}: with room in all, nothing leaves`, () => {
		const idle = replay({...base, loads: loads.map(() => 0.7), mayLeave: true});
		expect(idle.meanFlow).toEqual(0);
	});
}

test('replay of a long round trip: a domain with barely enough room is not flooded by bursts', () => {
	const {longestQueues, meanFlow} = replay({
		loads: [1.3, 0.66],
		roundTripMilliseconds: 300,
		distance: distances.remote,
		mayLeave: true,
	});
	expect(meanFlow).toBeGreaterThan(50);
	// Its own callers wait no longer than one request takes.
	expect(waitOf(longestQueues[1]!)).toBeLessThan(serviceMilliseconds);
});
