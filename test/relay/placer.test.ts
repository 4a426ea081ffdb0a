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
const location = {nodeId: 'ingress', region: 'coast', failureDomain: 'coast-0'};

const isInOwnDomain = ({failureDomain}: Member): boolean => failureDomain === 'coast-0';

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
		repeated: false,
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
	isEvacuated: (failureDomain: string) => boolean = () => false,
) {
	const queried: string[] = [];
	const random = createRandom(5);
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
		isEvacuated,
		findSuspectKey: () => undefined,
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

test('gates of an evacuated failure domain are neither queried nor chosen', async () => {
	const {placer, queried} = createTestPlacer(
		createMembers(45),
		() => free,
		false,
		failureDomain => failureDomain === 'coast-0',
	);
	for (let index = 0; index < 20; index += 1) {
		const [best] = await placer.orderGates(createCall(100), new Set());
		expect(best!.member.failureDomain).toEqual('coast-1');
	}

	const domains = queried.map(id => Number(id.slice('node-'.length)) % 2);
	expect(domains.every(domain => domain === 1)).toEqual(true);
});

type SpillCase = {
	readonly name: string;
	readonly report: (member: Member) => GateReport;
	readonly hasSpill: boolean;
	/** Whether the call goes to a gate outside of the own failure domain. */
	readonly leaves: boolean;
	readonly mostQueries: number;
};

const late: GateReport = {...free, waitMilliseconds: 600};

const spillCases: readonly SpillCase[] = [
	{
		name: 'a free domain is not left, and nothing else is queried',
		report: member => (isInOwnDomain(member) ? free : late),
		hasSpill: true,
		leaves: false,
		mostQueries: 1,
	},
	{
		name: 'a full domain is left for the free one of the same region',
		report: member => (member.failureDomain === 'coast-1' ? free : late),
		hasSpill: true,
		leaves: true,
		mostQueries: 6,
	},
	{
		name: 'switched off, the free domain of the same region is not found',
		report: member => (member.failureDomain === 'coast-1' ? free : late),
		hasSpill: false,
		leaves: false,
		mostQueries: 5,
	},
	{
		name: 'a full domain is not left where all are full',
		report: () => late,
		hasSpill: true,
		leaves: false,
		mostQueries: 6,
	},
];

for (const {name, report, hasSpill, leaves, mostQueries} of spillCases) {
	test(name, async () => {
		const {placer, queried} = createTestPlacer(createMembers(45), report, hasSpill);
		// The first calls move the share and the views of the other domains.
		for (let index = 0; index < 20; index += 1) {
			await placer.orderGates(createCall(100), new Set());
		}

		queried.length = 0;
		const [best] = await placer.orderGates(createCall(100), new Set());
		expect(isInOwnDomain(best!.member)).toEqual(!leaves);
		expect(queried.length).toBeLessThanOrEqual(mostQueries);
	});
}

test('a gate that answers after the time-out teaches the round trip', async () => {
	const members = createMembers(2);
	const roundTrips = createRoundTrips(location);
	const timeouts: number[] = [];
	const placer = createPlacer({
		location,
		roundTrips,
		leaving: undefined,
		onPlaced: () => undefined,
		gate: unusedGate,
		socket: {
			async queryLoad(_address, _question, timeout, onLateAnswer) {
				timeouts.push(timeout);
				const answer = {...free, roundTripMilliseconds: 140};
				if (timeout >= answer.roundTripMilliseconds) {
					return answer;
				}

				setImmediate(() => onLateAnswer?.(answer));
				return undefined;
			},
		},
		findSuspectKey: () => undefined,
		isEvacuated: () => false,
		membersOf: () => members.slice(1),
		costs: {perKilobyteBetweenDomains: 0.01, perKilobyteBetweenRegions: 0.05},
		now: () => performance.now(),
		random: () => 0,
		responseBytes: () => 1000,
	});
	const first = await placer.orderGates(createCall(100), new Set());
	expect(first[0]?.report).toEqual(undefined);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	const second = await placer.orderGates(createCall(100), new Set());
	expect(second[0]?.report?.accepting).toEqual(true);
	expect(timeouts).toEqual([100, 400]);
	expect(roundTrips.list().get('plain-1')).toEqual(140);
});
