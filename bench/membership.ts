/**
 * Measures membership: traffic and processor time against the size of the fleet, the time to detect
 * a crash, false detections under packet loss, the failure of a whole domain, and the memory and load
 * of one node with 23,000 members. All members share one process and a simulated clock; bytes include
 * the IP and UDP headers of the datagrams.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {decodePacket, encodePacket} from '../src/membership/codec.js';
import {applyEvent} from '../src/membership/state-machine.js';
import {memberStatuses} from '../src/membership/member.js';
import {type Body, type Packet, type Rumour} from '../src/membership/message.js';
import {defaultParameters} from '../src/membership/parameters.js';
import {createRecord} from '../src/membership/record.js';
import {createState, type MembershipState} from '../src/membership/state.js';
import {
	createMesh,
	describeMember,
	startMembers,
	statusSeenBy,
	type Mesh,
	type MeshNode,
} from '../test/membership/simulated-mesh.js';

const second = 1000;
const steadySeconds = 60;
const crashTrials = 5;
const disseminationTrials = 5;
const largeFleetRumoursPerSecond = 1;
const largeFleetSize = 23_000;
const largeFleetSeconds = 60;
const largeFleetServices = 1100;
const microsecondsPerMillisecond = 1000;
const {alive, dead} = memberStatuses;

function sum(
	nodes: readonly MeshNode[],
	read: (state: MembershipState) => number,
): number {
	let total = 0;
	for (const {state} of nodes) {
		total += read(state);
	}

	return total;
}

function round(value: number, digits = 1): number {
	return Number(value.toFixed(digits));
}

function describeFleetMember(index: number) {
	return {
		nodeId: `node-${index}`,
		host: `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${index % 250}`,
		incarnation: 1_790_000_000_000 + index,
		region: `region-${index % 3}`,
		failureDomain: `domain-${index % 7}`,
		service: `service-${index % largeFleetServices}`,
	};
}

/** Traffic and processor time of each member of a fleet without membership changes. */
function measureSteady(size: number) {
	const mesh = createMesh({seed: 1, delayMilliseconds: 8});
	startMembers(mesh, size, describeFleetMember);
	const joinedAfter = mesh.now;
	mesh.run(30 * second);
	const bytes = sum(mesh.nodes, ({budget}) => budget.spentBytes);
	const cpu = process.cpuUsage();
	mesh.run(steadySeconds * second);
	const sentBytes = sum(mesh.nodes, ({budget}) => budget.spentBytes) - bytes;
	const {user, system} = process.cpuUsage(cpu);
	const memberSeconds = size * steadySeconds;
	return {
		members: size,
		joinedSeconds: round(joinedAfter / second),
		sentBytesPerSecond: round(sentBytes / memberSeconds),
		cpuPercentOfCore: round(((user + system) / memberSeconds / 1_000_000) * 100, 3),
		slowestSpreadSeconds: round(measureDissemination(mesh) / second, 2),
	};
}

function areDetectedDead(mesh: Mesh, crashedNodes: readonly MeshNode[]): boolean {
	return crashedNodes.every(crashedNode =>
		mesh.nodes.every(
			node => !node.isRunning || statusSeenBy(node, crashedNode.nodeId) === dead,
		),
	);
}

/** Time until the first and the last member consider a crashed one dead, and false detections. */
function measureDetection(size: number, loss: number) {
	const firsts: number[] = [];
	const lasts: number[] = [];
	let falseDeaths = 0;
	let falseSuspicions = 0;
	let memberHours = 0;
	for (let trial = 0; trial < crashTrials; trial += 1) {
		const mesh = createMesh({seed: 10 + trial, loss, delayMilliseconds: 8});
		const nodes = startMembers(mesh, size, describeFleetMember);
		const before = sum(nodes, ({counters}) => counters.suspicions);
		const deathsBefore = sum(nodes, ({counters}) => counters.deaths);
		mesh.run(steadySeconds * second);
		falseSuspicions += sum(nodes, ({counters}) => counters.suspicions) - before;
		falseDeaths += sum(nodes, ({counters}) => counters.deaths) - deathsBefore;
		memberHours += (size * steadySeconds) / 3600;
		const crashedNode = nodes[3]!;
		crashedNode.isRunning = false;
		const hasDetected = (node: MeshNode) =>
			statusSeenBy(node, crashedNode.nodeId) === dead;
		const first =
			mesh.runUntil(() => nodes.some(node => hasDetected(node)), 60 * second) ?? -1;
		const remaining =
			mesh.runUntil(() => areDetectedDead(mesh, [crashedNode]), 60 * second) ?? -1;
		firsts.push(first);
		lasts.push(first + remaining);
	}

	return {
		members: size,
		loss,
		...summarizeTimes('first', firsts),
		...summarizeTimes('last', lasts),
		falseSuspicionsPerMemberHour: round(falseSuspicions / memberHours, 2),
		falseDeathsPerMemberHour: round(falseDeaths / memberHours, 2),
		memberHours: round(memberHours),
	};
}

function summarizeTimes(name: string, milliseconds: readonly number[]) {
	const sorted = milliseconds.toSorted((left, right) => left - right);
	const median = sorted[Math.floor(sorted.length / 2)]!;
	return {
		[`${name}MedianSeconds`]: round(median / second),
		[`${name}HighestSeconds`]: round(sorted.at(-1)! / second),
	};
}

/** Longest time until every member knows a version that one member publishes. */
function measureDissemination(mesh: Mesh): number {
	let highest = 0;
	for (let version = 1; version <= disseminationTrials; version += 1) {
		mesh.send(mesh.nodes[version]!, {kind: 'publishVersion', topic: 'team', version});
		const isKnown = () =>
			mesh.nodes.every(({state}) => state.topics.get('team') === version);
		highest = Math.max(highest, mesh.runUntil(isKnown, 30 * second) ?? 30 * second);
		mesh.run(5 * second);
	}

	return highest;
}

/** Crashes one of seven failure domains and measures detection time and peak traffic. */
function measureDomainFailure(size: number) {
	const mesh = createMesh({seed: 5, delayMilliseconds: 8});
	const nodes = startMembers(mesh, size, describeFleetMember);
	mesh.run(30 * second);
	const crashedNodes = nodes.filter((_node, index) => index % 7 === 0);
	const survivors = nodes.filter(node => !crashedNodes.includes(node));
	for (const crashedNode of crashedNodes) {
		crashedNode.isRunning = false;
	}

	let highest = 0;
	let elapsed = 0;
	while (elapsed < 120 && !areDetectedDead(mesh, crashedNodes)) {
		const before = survivors.map(({state}) => state.budget.spentBytes);
		mesh.run(second);
		elapsed += 1;
		const sentBytes = survivors.map(
			({state}, index) => state.budget.spentBytes - before[index]!,
		);
		highest = Math.max(highest, ...sentBytes);
	}

	const suspectedSurvivors = survivors.filter(node =>
		survivors.some(other => other !== node && statusSeenBy(other, node.nodeId) !== alive),
	);
	return {
		members: size,
		died: crashedNodes.length,
		foundSeconds: elapsed,
		peakBytesPerSecond: highest,
		survivorsNotHeldAlive: suspectedSurvivors.length,
	};
}

function createReceivedPacket(
	from: string,
	body: Body,
	rumours: readonly Rumour[],
): Packet {
	return decodePacket(encodePacket({from, body, rumours}))._unsafeUnwrap();
}

function addLargeFleet(state: MembershipState): number {
	const pageMembers = 16;
	let bytes = 0;
	for (let start = 1; start < largeFleetSize; start += pageMembers) {
		const rumours: Rumour[] = [];
		for (
			let index = start;
			index < Math.min(start + pageMembers, largeFleetSize);
			index += 1
		) {
			const member = describeMember(describeFleetMember(index));
			rumours.push({kind: 'detail', record: createRecord(member)});
		}

		const packet = createReceivedPacket('node-1', {kind: 'syncPage'}, rumours);
		bytes += encodePacket(packet).length;
		const from = {host: '10.0.0.1', port: 7000};
		applyEvent(
			state,
			{kind: 'packet', packet, from},
			start / largeFleetSize,
			Math.random,
		);
	}

	return bytes;
}

/** Memory per member, and processor time under load, of one node in a large fleet. */
function measureLargeFleet() {
	globalThis.gc?.();
	const heapBefore = process.memoryUsage().heapUsed;
	const self = describeMember(describeFleetMember(0));
	const state = createState(self, defaultParameters, 0);
	const pageBytes = addLargeFleet(state);
	globalThis.gc?.();
	const heapBytes = process.memoryUsage().heapUsed - heapBefore;
	const cpu = process.cpuUsage();
	const sentBefore = state.budget.spentBytes;
	simulateLargeFleet(state);
	const {user, system} = process.cpuUsage(cpu);
	const milliseconds = (user + system) / microsecondsPerMillisecond;
	return {
		members: state.roster.records.size,
		pageBytesPerMember: round(pageBytes / largeFleetSize),
		newsPerSecond: largeFleetRumoursPerSecond,
		heapMegabytes: round(heapBytes / 1_000_000),
		heapBytesPerMember: Math.round(heapBytes / largeFleetSize),
		cpuPercentOfCore: round((milliseconds / (largeFleetSeconds * second)) * 100, 2),
		sentBytesPerSecond: round((state.budget.spentBytes - sentBefore) / largeFleetSeconds),
	};
}

/** Simulates, in each second, ten ticks, a ping with rumours, and acknowledgements of probes. */
function simulateLargeFleet(state: MembershipState): void {
	for (let now = 10; now < largeFleetSeconds * second; now += 100) {
		const effects = [...applyEvent(state, {kind: 'tick'}, now, Math.random)];
		acknowledgeProbes(state, effects, now);
		if (now % second === 10) {
			const index = 1 + (Math.floor(now / second) % (largeFleetSize - 1));
			const from = {host: '10.0.0.1', port: 7000};
			const rumours: Rumour[] = Array.from(
				{length: largeFleetRumoursPerSecond},
				(_, offset) => ({
					kind: 'version',
					topic: `team-${(index + offset) % 400}`,
					version: now,
				}),
			);
			const ping: Body = {kind: 'ping', sequence: index, target: 'node-0'};
			const packet = createReceivedPacket(`node-${index}`, ping, rumours);
			applyEvent(state, {kind: 'packet', packet, from}, now, Math.random);
		}
	}
}

function acknowledgeProbes(
	state: MembershipState,
	effects: ReadonlyArray<{kind: string; bytes?: Uint8Array}>,
	now: number,
): void {
	for (const {bytes} of effects) {
		const sent = bytes === undefined ? undefined : decodePacket(bytes)._unsafeUnwrap();
		if (sent?.body.kind !== 'ping') {
			continue;
		}

		const {sequence, target} = sent.body;
		const acknowledgement: Body = {kind: 'acknowledgement', sequence, reached: true};
		const packet = createReceivedPacket(target, acknowledgement, []);
		const from = {host: '10.0.0.1', port: 7000};
		applyEvent(state, {kind: 'packet', packet, from}, now + 2, Math.random);
	}
}

const report = {
	steady: [10, 30, 100, 300].map(size => measureSteady(size)),
	detection: [10, 30, 100].flatMap(size =>
		[0, 0.05, 0.2].map(loss => measureDetection(size, loss)),
	),
	massDeath: [70, 210].map(size => measureDomainFailure(size)),
	large: measureLargeFleet(),
};

for (const [name, rows] of Object.entries(report)) {
	console.log(`\n${name}`);
	console.table(rows);
}

const folder = path.resolve(import.meta.dirname, '../docs/measurements');
mkdirSync(folder, {recursive: true});
writeFileSync(
	path.join(folder, 'membership.json'),
	`${JSON.stringify(report, undefined, 2)}\n`,
);
