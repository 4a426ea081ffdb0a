/**
 * Simulates many members in one process on a virtual clock: the real state machines, encoded
 * datagrams, and paths that delay, lose, duplicate or block them. The same seed gives the same
 * run.
 */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {datagramOverheadBytes, decodePacket} from '../../src/membership/codec.js';
import {nextTickAt} from '../../src/membership/due.js';
import {applyEvent} from '../../src/membership/state-machine.js';
import {memberStatuses, type Member} from '../../src/membership/member.js';
import {type Address} from '../../src/membership/message.js';
import {
	defaultParameters,
	type MembershipParameters,
} from '../../src/membership/parameters.js';
import {
	createState,
	type MembershipEffect,
	type MembershipEvent,
	type MembershipState,
} from '../../src/membership/state.js';

export type MeshNode = {
	readonly nodeId: string;
	readonly address: Address;
	readonly state: MembershipState;
	readonly effects: MembershipEffect[];
	/** Number of ticks so far. */
	ticks: number;
	nextTickAt: number;
	isRunning: boolean;
	isPaused: boolean;
};

export type MeshOptions = {
	readonly seed: number;
	readonly parameters?: Partial<MembershipParameters>;
	readonly delayMilliseconds?: number;
	/** Share of datagrams that are lost. */
	readonly loss?: number;
	/** Share of datagrams that arrive twice. */
	readonly duplication?: number;
	/** Whether the effects other than datagrams are recorded in `effects`. */
	readonly keepsEffects?: boolean;
};

export type Mesh = {
	readonly nodes: MeshNode[];
	readonly random: () => number;
	now: number;
	/** Whether datagrams from one node to another are dropped. */
	isCut: (from: MeshNode, to: MeshNode) => boolean;
	/** Called with each datagram that is sent, and its size. */
	onSend: (from: MeshNode, to: MeshNode, bytes: number) => void;
	readonly start: (
		member: Partial<Member> & {nodeId: string},
		seeds?: MeshNode[],
	) => MeshNode;
	readonly send: (node: MeshNode, event: MembershipEvent) => void;
	readonly run: (milliseconds: number) => void;
	/** Runs until the condition holds; gives the elapsed milliseconds, or undefined after `bound`. */
	readonly runUntil: (condition: () => boolean, bound: number) => number | undefined;
};

const controlPort = 7000;
const randomRange = 0xff_ff_ff;

/**
 * Creates an empty mesh.
 *
 * @param options seed, parameters of the members and faults of the network
 * @returns the mesh
 */
export function createMesh(options: MeshOptions): Mesh {
	const random = createRandom(options.seed);
	const arrivals = new Map<number, Array<() => void>>();
	const byHost = new Map<string, MeshNode>();
	const mesh: Mesh = {
		nodes: [],
		random,
		now: 0,
		isCut: () => false,
		onSend: () => undefined,
		start,
		send: dispatch,
		run(milliseconds) {
			runUntil(() => false, milliseconds);
		},
		runUntil,
	};

	function start(
		member: Partial<Member> & {nodeId: string},
		seeds: MeshNode[] = [],
	): MeshNode {
		const host =
			member.host ??
			`10.0.${Math.floor(mesh.nodes.length / 250)}.${mesh.nodes.length % 250}`;
		const self = describeMember({...member, host});
		const parameters = {...defaultParameters, ...options.parameters};
		const state = createState(self, parameters, mesh.now);
		state.seeds = seeds.map(({address}) => address);
		const address = {host, port: controlPort};
		const {nodeId} = self;
		const flags = {isRunning: true, isPaused: false, ticks: 0, nextTickAt: mesh.now};
		const node: MeshNode = {nodeId, address, state, effects: [], ...flags};
		mesh.nodes.push(node);
		byHost.set(host, node);
		return node;
	}

	function runUntil(condition: () => boolean, bound: number): number | undefined {
		const startedAt = mesh.now;
		while (mesh.now - startedAt < bound) {
			if (condition()) {
				return mesh.now - startedAt;
			}

			mesh.now += 1;
			for (const deliver of arrivals.get(mesh.now) ?? []) {
				deliver();
			}

			arrivals.delete(mesh.now);
			tickNodes();
		}

		return condition() ? bound : undefined;
	}

	function tickNodes(): void {
		for (const node of mesh.nodes) {
			if (node.nextTickAt <= mesh.now && node.isRunning && !node.isPaused) {
				node.ticks += 1;
				dispatch(node, {kind: 'tick'});
			}
		}
	}

	function dispatch(node: MeshNode, event: MembershipEvent): void {
		for (const effect of applyEvent(node.state, event, mesh.now, random)) {
			if (effect.kind === 'send') {
				transmit(node, effect.address, effect.bytes);
			} else if (options.keepsEffects) {
				node.effects.push(effect);
			}
		}

		node.nextTickAt = Math.max(mesh.now + 1, nextTickAt(node.state, mesh.now));
	}

	function transmit(from: MeshNode, address: Address, bytes: Uint8Array): void {
		const to = byHost.get(address.host);
		if (to !== undefined) {
			mesh.onSend(from, to, bytes.length + datagramOverheadBytes);
		}

		const isLost =
			to === undefined || mesh.isCut(from, to) || random() < (options.loss ?? 0);
		if (isLost) {
			return;
		}

		const copies = random() < (options.duplication ?? 0) ? 2 : 1;
		for (let copy = 0; copy < copies; copy += 1) {
			const delay = 1 + Math.floor(random() * (options.delayMilliseconds ?? 2));
			const deliveries = arrivals.get(mesh.now + delay) ?? [];
			deliveries.push(() => {
				deliver(to, bytes, from.address);
			});
			arrivals.set(mesh.now + delay, deliveries);
		}
	}

	function deliver(to: MeshNode, bytes: Uint8Array, from: Address): void {
		// Datagrams to a paused node are lost, as by a full socket buffer.
		if (!to.isRunning || to.isPaused) {
			return;
		}

		const packet = decodePacket(bytes)._unsafeUnwrap();
		dispatch(to, {kind: 'packet', packet, from});
	}

	return mesh;
}

/**
 * Creates a member, with defaults for the fields that do not matter to a test.
 *
 * @param member the fields that matter
 * @returns the member
 */
export function describeMember(member: Partial<Member> & {nodeId: string}): Member {
	return {
		incarnation: 1,
		status: memberStatuses.alive,
		host: '10.0.0.1',
		peerPort: 7001,
		controlPort,
		region: 'west',
		failureDomain: 'west-1',
		service: 'booking',
		slots: 10,
		revision: 0,
		...member,
	};
}

/**
 * Starts members that join through the first one and runs until each knows all others.
 *
 * @param mesh the mesh
 * @param count number of members
 * @param describe gives the fields of each member by index; defaults to none
 * @returns the members
 */
export function startMembers(
	mesh: Mesh,
	count: number,
	describe: (index: number) => Partial<Member> = () => ({}),
): MeshNode[] {
	for (let index = 0; index < count; index += 1) {
		mesh.start({nodeId: `node-${index}`, ...describe(index)}, mesh.nodes.slice(0, 1));
	}

	const joined = mesh.runUntil(
		() => mesh.nodes.every(({state}) => state.roster.peers.length === count - 1),
		300_000,
	);
	if (joined === undefined) {
		throw new Error('the members did not join in time');
	}

	return mesh.nodes;
}

/**
 * Gives the status of a member as seen by a node.
 *
 * @param node the node that is asked
 * @param nodeId id of the member
 * @returns the status; undefined for an unknown member
 */
export function statusSeenBy(
	node: MeshNode,
	nodeId: string,
): Member['status'] | undefined {
	return node.state.roster.records.get(nodeId)?.member.status;
}

function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () =>
		unsafeUniformIntDistribution(0, randomRange, generator) / (randomRange + 1);
}
