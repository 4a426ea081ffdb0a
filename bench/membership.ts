/**
 * Measures membership: bytes, processor time and memory against the size of the fleet, the time
 * to find a crash and what is wrongly found under loss, and one node that holds 23,000 members.
 * Many members share one process and a virtual clock; the bytes are those of the datagrams with
 * their IP and UDP headers.
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
const spreadTrials = 5;
const largeNewsPerSecond = 1;
const largeFleet = 23_000;
const largeSeconds = 60;
const servicesOfLargeFleet = 1100;
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
		service: `service-${index % servicesOfLargeFleet}`,
	};
}

/** Bytes and processor time for each member of a fleet in which nothing happens. */
function measureSteady(size: number) {
	const mesh = createMesh({seed: 1, delayMilliseconds: 8});
	startMembers(mesh, size, describeFleetMember);
	const joinedAfter = mesh.now;
	mesh.run(30 * second);
	const bytes = sum(mesh.nodes, ({budget}) => budget.spentBytes);
	const cpu = process.cpuUsage();
	mesh.run(steadySeconds * second);
	const spent = sum(mesh.nodes, ({budget}) => budget.spentBytes) - bytes;
	const {user, system} = process.cpuUsage(cpu);
	const memberSeconds = size * steadySeconds;
	return {
		members: size,
		joinedSeconds: round(joinedAfter / second),
		sentBytesPerSecond: round(spent / memberSeconds),
		cpuPercentOfCore: round(((user + system) / memberSeconds / 1_000_000) * 100, 3),
		slowestSpreadSeconds: round(measureSpread(mesh) / second, 2),
	};
}

function isFoundDead(mesh: Mesh, victims: readonly MeshNode[]): boolean {
	return victims.every(victim =>
		mesh.nodes.every(
			node => !node.isRunning || statusSeenBy(node, victim.nodeId) === dead,
		),
	);
}

/** Time until the first and the last member hold a crashed one dead, and false verdicts. */
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
		const victim = nodes[3]!;
		victim.isRunning = false;
		const knows = (node: MeshNode) => statusSeenBy(node, victim.nodeId) === dead;
		const first = mesh.runUntil(() => nodes.some(node => knows(node)), 60 * second) ?? -1;
		const rest = mesh.runUntil(() => isFoundDead(mesh, [victim]), 60 * second) ?? -1;
		firsts.push(first);
		lasts.push(first + rest);
	}

	return {
		members: size,
		loss,
		...describeTimes('first', firsts),
		...describeTimes('last', lasts),
		falseSuspicionsPerMemberHour: round(falseSuspicions / memberHours, 2),
		falseDeathsPerMemberHour: round(falseDeaths / memberHours, 2),
		memberHours: round(memberHours),
	};
}

function describeTimes(name: string, milliseconds: readonly number[]) {
	const sorted = milliseconds.toSorted((left, right) => left - right);
	const median = sorted[Math.floor(sorted.length / 2)]!;
	return {
		[`${name}MedianSeconds`]: round(median / second),
		[`${name}HighestSeconds`]: round(sorted.at(-1)! / second),
	};
}

/** Time until every member knows of a version that one publishes. */
function measureSpread(mesh: Mesh): number {
	let highest = 0;
	for (let version = 1; version <= spreadTrials; version += 1) {
		mesh.send(mesh.nodes[version]!, {kind: 'publishVersion', topic: 'team', version});
		const knows = () =>
			mesh.nodes.every(({state}) => state.topics.get('team') === version);
		highest = Math.max(highest, mesh.runUntil(knows, 30 * second) ?? 30 * second);
		mesh.run(5 * second);
	}

	return highest;
}

/** A failure domain dies at once. */
function measureMassDeath(size: number) {
	const mesh = createMesh({seed: 5, delayMilliseconds: 8});
	const nodes = startMembers(mesh, size, describeFleetMember);
	mesh.run(30 * second);
	const victims = nodes.filter((_node, index) => index % 7 === 0);
	const rest = nodes.filter(node => !victims.includes(node));
	for (const victim of victims) {
		victim.isRunning = false;
	}

	let highest = 0;
	let elapsed = 0;
	while (elapsed < 120 && !isFoundDead(mesh, victims)) {
		const before = rest.map(({state}) => state.budget.spentBytes);
		mesh.run(second);
		elapsed += 1;
		const spent = rest.map(({state}, index) => state.budget.spentBytes - before[index]!);
		highest = Math.max(highest, ...spent);
	}

	const survivorsHeldDead = rest.filter(node =>
		rest.some(other => other !== node && statusSeenBy(other, node.nodeId) !== alive),
	);
	return {
		members: size,
		died: victims.length,
		foundSeconds: elapsed,
		peakBytesPerSecond: highest,
		survivorsNotHeldAlive: survivorsHeldDead.length,
	};
}

function packetOf(from: string, body: Body, rumours: readonly Rumour[]): Packet {
	return decodePacket(encodePacket({from, body, rumours}))._unsafeUnwrap();
}

function fillLargeFleet(state: MembershipState): number {
	const pageMembers = 16;
	let bytes = 0;
	for (let start = 1; start < largeFleet; start += pageMembers) {
		const rumours: Rumour[] = [];
		for (
			let index = start;
			index < Math.min(start + pageMembers, largeFleet);
			index += 1
		) {
			const member = describeMember(describeFleetMember(index));
			rumours.push({kind: 'detail', record: createRecord(member)});
		}

		const packet = packetOf('node-1', {kind: 'syncPage'}, rumours);
		bytes += encodePacket(packet).length;
		const from = {host: '10.0.0.1', port: 7000};
		applyEvent(state, {kind: 'packet', packet, from}, start / largeFleet, Math.random);
	}

	return bytes;
}

/** One node that holds a large fleet: memory for each member, and processor time at its load. */
function measureLarge() {
	globalThis.gc?.();
	const heapBefore = process.memoryUsage().heapUsed;
	const self = describeMember(describeFleetMember(0));
	const state = createState(self, defaultParameters, 0);
	const pageBytes = fillLargeFleet(state);
	globalThis.gc?.();
	const heapBytes = process.memoryUsage().heapUsed - heapBefore;
	const cpu = process.cpuUsage();
	const sentBefore = state.budget.spentBytes;
	runLarge(state);
	const {user, system} = process.cpuUsage(cpu);
	const milliseconds = (user + system) / microsecondsPerMillisecond;
	return {
		members: state.roster.records.size,
		pageBytesPerMember: round(pageBytes / largeFleet),
		newsPerSecond: largeNewsPerSecond,
		heapMegabytes: round(heapBytes / 1_000_000),
		heapBytesPerMember: Math.round(heapBytes / largeFleet),
		cpuPercentOfCore: round((milliseconds / (largeSeconds * second)) * 100, 2),
		sentBytesPerSecond: round((state.budget.spentBytes - sentBefore) / largeSeconds),
	};
}

/** Each second: ten ticks, a ping with news, and the answers to its own probes. */
function runLarge(state: MembershipState): void {
	for (let now = 10; now < largeSeconds * second; now += 100) {
		const effects = [...applyEvent(state, {kind: 'tick'}, now, Math.random)];
		answerProbes(state, effects, now);
		if (now % second === 10) {
			const index = 1 + (Math.floor(now / second) % (largeFleet - 1));
			const from = {host: '10.0.0.1', port: 7000};
			const rumours: Rumour[] = Array.from({length: largeNewsPerSecond}, (_, offset) => ({
				kind: 'version',
				topic: `team-${(index + offset) % 400}`,
				version: now,
			}));
			const ping: Body = {kind: 'ping', sequence: index, target: 'node-0'};
			const packet = packetOf(`node-${index}`, ping, rumours);
			applyEvent(state, {kind: 'packet', packet, from}, now, Math.random);
		}
	}
}

function answerProbes(
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
		const answer: Body = {kind: 'acknowledgement', sequence, reached: true};
		const packet = packetOf(target, answer, []);
		const from = {host: '10.0.0.1', port: 7000};
		applyEvent(state, {kind: 'packet', packet, from}, now + 2, Math.random);
	}
}

const report = {
	steady: [10, 30, 100, 300].map(size => measureSteady(size)),
	detection: [10, 30, 100].flatMap(size =>
		[0, 0.05, 0.2].map(loss => measureDetection(size, loss)),
	),
	massDeath: [70, 210].map(size => measureMassDeath(size)),
	large: measureLarge(),
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
