/** What a node makes of readings and gossip about evacuations, in any order. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	applyGossip,
	applyReading,
	createEvacuationState,
	decodeEvacuationOrder,
	encodeEvacuationOrder,
	isDomainEvacuated,
	type EvacuationOrder,
	type EvacuationState,
} from '../../src/evacuation/index.js';
import {
	createEvacuationTracker,
	type EvacuationMembership,
} from '../../src/relay/evacuation-tracker.js';
import {memberStatuses, type Member} from '../../src/membership/index.js';

const domain = 'coast-1';

function order(era: number, version: number, isEvacuated: boolean): number {
	return encodeEvacuationOrder({era, version, isEvacuated})!;
}

function read(era: number, version: number, rowVersion?: number) {
	const evacuations =
		rowVersion === undefined ? [] : [{domain, isEvacuated: true, rowVersion}];
	return (state: EvacuationState) =>
		applyReading(state, {evacuations, isComplete: true, position: {era, version}});
}

function feed(era: number, rowVersion: number, isEvacuated: boolean) {
	const position = {era, version: rowVersion};
	const evacuations = [{domain, isEvacuated, rowVersion}];
	return (state: EvacuationState) =>
		applyReading(state, {evacuations, isComplete: false, position});
}

function hear(code: number) {
	return (state: EvacuationState) => applyGossip(state, domain, code);
}

test('orders survive coding and sort by era, version and flag', () => {
	const orders: EvacuationOrder[] = [
		{era: 0, version: 0, isEvacuated: false},
		{era: 0, version: 7, isEvacuated: false},
		{era: 0, version: 7, isEvacuated: true},
		{era: 0, version: 2 ** 40 - 1, isEvacuated: true},
		{era: 1, version: 0, isEvacuated: false},
		{era: 2 ** 12 - 1, version: 2 ** 40 - 1, isEvacuated: true},
	];
	const codes = orders.map(value => encodeEvacuationOrder(value)!);
	expect(codes).toEqual(codes.toSorted((left, right) => left - right));
	expect(codes.every(code => Number.isSafeInteger(code))).toEqual(true);
	expect(codes.map(code => decodeEvacuationOrder(code))).toEqual(orders);
});

test('orders out of bounds are not coded, and not decoded', () => {
	for (const [era, version] of [
		[2 ** 12, 1],
		[-1, 1],
		[1, 2 ** 40],
		[1, 1.5],
	] as const) {
		expect(encodeEvacuationOrder({era, version, isEvacuated: true})).toEqual(undefined);
	}

	for (const code of [-1, 0.5, 2 ** 53, Number.NaN]) {
		expect(decodeEvacuationOrder(code)).toEqual(undefined);
	}
});

const cases: ReadonlyArray<{
	readonly name: string;
	readonly events: ReadonlyArray<(state: EvacuationState) => unknown>;
	readonly isEvacuated: boolean;
}> = [
	{name: 'a row evacuates', events: [read(1, 9, 4)], isEvacuated: true},
	{
		name: 'a removed row takes back',
		events: [read(1, 9, 4), feed(1, 10, false)],
		isEvacuated: false,
	},
	{
		name: 'an absent row takes back in a complete reading',
		events: [feed(1, 4, true), read(1, 9)],
		isEvacuated: false,
	},
	{
		name: 'a row that was written again evacuates again',
		events: [read(1, 9, 4), read(1, 12), feed(1, 13, true)],
		isEvacuated: true,
	},
	{
		name: 'late gossip does not take back',
		events: [feed(1, 10, true), hear(order(1, 4, false))],
		isEvacuated: true,
	},
	{
		name: 'late gossip does not evacuate',
		events: [feed(1, 10, false), hear(order(1, 4, true))],
		isEvacuated: false,
	},
	{
		name: 'gossip older than a complete reading does not evacuate',
		events: [read(1, 9), hear(order(1, 4, true))],
		isEvacuated: false,
	},
	{
		name: 'gossip newer than a complete reading evacuates',
		events: [read(1, 9), hear(order(1, 10, true))],
		isEvacuated: true,
	},
	{
		name: 'a restored table without the row takes back, at a lower version',
		events: [read(1, 90, 80), read(2, 40)],
		isEvacuated: false,
	},
	{
		name: 'a restored table with an older row evacuates again',
		events: [read(1, 90, 30), feed(1, 91, false), read(2, 40, 30)],
		isEvacuated: true,
	},
	{
		name: 'gossip of the era before the restore counts no more',
		events: [read(2, 40), hear(order(1, 90, true))],
		isEvacuated: false,
	},
	{
		name: 'gossip out of bounds changes nothing',
		events: [hear(2 ** 53 + 3)],
		isEvacuated: false,
	},
];

for (const {name, events, isEvacuated} of cases) {
	test(name, () => {
		const state = createEvacuationState();
		for (const apply of events) {
			apply(state);
		}

		expect(isDomainEvacuated(state, domain)).toEqual(isEvacuated);
	});
}

function createMembershipView(announced: ReadonlyMap<string, number>) {
	const published: Array<readonly [string, number]> = [];
	let listener: (topic: string, version: number, from: string) => void = () => undefined;
	const self: Member = {
		nodeId: 'node',
		incarnation: 1,
		status: memberStatuses.alive,
		host: '127.0.0.1',
		peerPort: 1,
		controlPort: 1,
		region: 'coast',
		failureDomain: domain,
		service: 'search',
		slots: 1,
		revision: 1,
	};
	const membership: EvacuationMembership = {
		publishVersion(topic, version) {
			published.push([topic, version]);
		},
		onVersion(added) {
			listener = added;
		},
		versionOf: topic => announced.get(topic),
		all: () => [],
		self: () => self,
	};
	return {
		membership,
		published,
		announce(topic: string, version: number) {
			listener(topic, version, 'peer');
		},
	};
}

function createTestTracker() {
	const changed: string[] = [];
	const ignore = (): void => undefined;
	const tracker = createEvacuationTracker({
		log: {info: ignore, warn: ignore, error: ignore},
		onChange(name) {
			changed.push(name);
		},
	});
	return {tracker, changed};
}

test('nothing is gossiped while no domain was ever evacuated', () => {
	const {tracker, changed} = createTestTracker();
	const view = createMembershipView(new Map());
	tracker.attach(view.membership);
	const position = {era: 1, version: 9};
	tracker.record({evacuations: [], isComplete: true, position});
	view.announce('routes', 3);
	expect([view.published, changed, tracker.list()]).toEqual([[], [], []]);
});

test('a node tells the others what it reads, and learns from them', () => {
	const {tracker, changed} = createTestTracker();
	const view = createMembershipView(new Map());
	const position = {era: 1, version: 9};
	const row = {domain, isEvacuated: true, rowVersion: 4};
	tracker.record({evacuations: [row], isComplete: true, position});
	tracker.attach(view.membership);
	const topic = `evacuation:${domain}`;
	expect(view.published).toEqual([[topic, order(1, 4, true)]]);
	view.announce(topic, order(1, 12, false));
	view.announce(topic, order(1, 12, false));
	expect([changed, tracker.list()]).toEqual([[domain, domain], []]);
});

test('a node that could not read the table learns from the others while it joins', () => {
	const {tracker} = createTestTracker();
	const topic = `evacuation:${domain}`;
	tracker.attach(createMembershipView(new Map([[topic, order(1, 4, true)]])).membership);
	expect(tracker.isEvacuated(domain)).toEqual(true);
});

test('outdated gossip is put right for the other nodes too', () => {
	const {tracker} = createTestTracker();
	const view = createMembershipView(new Map());
	const position = {era: 1, version: 9};
	tracker.record({evacuations: [], isComplete: true, position});
	tracker.attach(view.membership);
	const topic = `evacuation:${domain}`;
	view.announce(topic, order(1, 4, true));
	expect(view.published).toEqual([[topic, order(1, 9, false)]]);
});
