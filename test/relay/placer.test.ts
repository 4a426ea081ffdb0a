/** How many gates a call queries, and how it orders them, in a service with many servers. */
import {test} from 'node:test';
import {expect} from 'earl';
import {memberStatuses, type Member} from '../../src/membership/index.js';
import type {GateReport} from '../../src/placing/index.js';
import {createRandom} from '../../src/load/random.js';
import type {RelayCall} from '../../src/relay/call.js';
import type {RelayGate} from '../../src/relay/gate-types.js';
import {createRoundTrips} from '../../src/relay/distances.js';
import {createLeaving} from '../../src/relay/leaving.js';
import {createPlacer} from '../../src/relay/placer.js';

const free: GateReport = {
	accepting: true,
	waitMilliseconds: 0,
	durationMilliseconds: 100,
	failureShare: 0,
};
const full: GateReport = {...free, waitMilliseconds: 300};
/** Not queried, since the local server belongs to another service. */
const unusedGate: Pick<RelayGate, 'report'> = {
	report: async () => free,
};
const regions = ['coast', 'plain', 'hills'];

/** Members spread over three regions with two failure domains each. */
function createMembers(count: number): Member[] {
	return Array.from({length: count}, (_, index) => {
		const region = regions[index % regions.length]!;
		return {
			nodeId: `node-${index}`,
			incarnation: 1,
			status: memberStatuses.alive,
			host: '127.0.0.1',
			peerPort: index + 1,
			controlPort: 1,
			region,
			failureDomain: `${region}-${index % 2}`,
			service: 'search',
			slots: 6,
			revision: 1,
		};
	});
}

function createCall(bodyBytes: number): RelayCall {
	const now = performance.now();
	return {
		requestId: 'request',
		route: 'route',
		service: 'search',
		method: 'POST',
		path: '/',
		headers: [],
		body: new Uint8Array(bodyBytes),
		originService: 'search',
		rank: 1,
		idempotent: false,
		nested: false,
		targetMilliseconds: 400,
		arrivedAt: now,
		targetAt: now + 400,
		deadlineAt: now + 1000,
		maximumAttempts: 2,
		team: undefined,
		homes: undefined,
	};
}

function createTestPlacer(
	members: readonly Member[],
	report: (member: Member) => GateReport,
	hasSpill = false,
) {
	const queried: string[] = [];
	const random = createRandom(5);
	const location = {nodeId: 'ingress', region: 'coast', failureDomain: 'coast-0'};
	const costs = {perKilobyteBetweenDomains: 0.01, perKilobyteBetweenRegions: 0.05};
	const roundTrips = createRoundTrips(location);
	const now = () => performance.now();
	const linkMegabits = () => undefined;
	const placer = createPlacer({
		location,
		roundTrips,
		leaving: hasSpill
			? createLeaving({location, costs, roundTrips, linkMegabits, now, random})
			: undefined,
		onPlaced: () => undefined,
		gate: unusedGate,
		socket: {
			async queryLoad({port}) {
				const member = members[port - 1]!;
				queried.push(member.nodeId);
				return {...report(member), roundTripMilliseconds: 1};
			},
		},
		membersOf: () => members,
		costs,
		now,
		random,
		responseBytes: () => 1000,
	});
	return {placer, queried};
}

test('a call queries at most five of 45 gates, even if all are full', async () => {
	const {placer, queried} = createTestPlacer(createMembers(45), () => full);
	const gates = await placer.orderGates(createCall(100), new Set());
	expect(gates.length).toBeGreaterThan(0);
	expect(queried.length).toBeLessThanOrEqual(5);
	expect(new Set(queried).size).toEqual(queried.length);
});

test('calls are spread over the gates of the own failure domain', async () => {
	const {placer, queried} = createTestPlacer(createMembers(45), () => free);
	const chosen = new Set<string>();
	for (let index = 0; index < 100; index += 1) {
		const [best] = await placer.orderGates(createCall(100), new Set());
		chosen.add(best!.nodeId);
		expect(best!.member.failureDomain).toEqual('coast-0');
	}

	expect(queried.length).toEqual(100);
	expect(chosen.size).toEqual(8);
});

test('a large body is not sent to another region while the own region has servers', async () => {
	const members = createMembers(6);
	const {placer} = createTestPlacer(members, ({region}) =>
		region === 'coast' ? {...free, accepting: false} : free,
	);
	expect(await placer.orderGates(createCall(60_000), new Set())).toEqual([]);
	const small = await placer.orderGates(createCall(100), new Set());
	expect(small.every(({member}) => member.region !== 'coast')).toEqual(true);
	expect(small.length).toBeGreaterThan(0);
});

test('a large body is sent to another region if only that has servers', async () => {
	const members = createMembers(6).map((member, index) => ({
		...member,
		peerPort: index + 1,
		status: member.region === 'coast' ? memberStatuses.dead : memberStatuses.alive,
	}));
	const {placer} = createTestPlacer(members, () => free);
	const gates = await placer.orderGates(createCall(60_000), new Set());
	expect(gates.length).toBeGreaterThan(0);
	expect(gates.every(({member}) => member.region !== 'coast')).toEqual(true);
});
