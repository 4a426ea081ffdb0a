/** A small fleet of followers with a table, driven step by step; nothing in it waits. */
import {
	createFollower,
	type FollowerEffect,
	type FollowerState,
} from '../../src/configuration/follower-state.js';
import {
	noteFetchFailure,
	noteStoreFailure,
	takeDocument,
	takePeerAnswer,
	takeStoreRows,
	tick,
} from '../../src/configuration/follower.js';
import {heldVersion, listHeads, type Offer} from '../../src/configuration/holding.js';
import {createDocumentText} from '../support/configuration.js';

export const team = 'darkrooms';

const text = createDocumentText(team);
const stepMilliseconds = 50;

type ModelNode = {
	state: FollowerState;
	isCut: boolean;
	/** Version in the table when this life began. */
	versionAtStart: number;
	highestSeen: number;
};

export type Fleet = {
	readonly nodes: ModelNode[];
	storeVersion: number;
	isStoreUp: boolean;
	now: number;
	readonly random: () => number;
};

export function createFleet(size: number, random: () => number): Fleet {
	const nodes = Array.from({length: size}, () => createNode(0));
	return {nodes, storeVersion: 0, isStoreUp: true, now: 0, random};
}

function createNode(versionAtStart: number): ModelNode {
	return {state: createFollower(), isCut: false, versionAtStart, highestSeen: 0};
}

/** Starts a node anew with an empty memory. */
export function restart(fleet: Fleet, index: number): void {
	fleet.nodes[index] = {
		...createNode(fleet.storeVersion),
		isCut: fleet.nodes[index]!.isCut,
	};
}

/** Accepts a change at a node, which may die before it puts the change in force. */
export function accept(fleet: Fleet, index: number, diesAfterWrite: boolean): void {
	const node = fleet.nodes[index]!;
	if (!fleet.isStoreUp || node.isCut) {
		return;
	}

	fleet.storeVersion += 1;
	if (diesAfterWrite) {
		restart(fleet, index);
		return;
	}

	perform(
		fleet,
		index,
		takeDocument(node.state, readStore(fleet), 'store', times(fleet)),
	);
}

/** Lets every node tick once and carries out what it asks for. */
export function step(fleet: Fleet): void {
	fleet.now += stepMilliseconds;
	for (const [index, {state}] of fleet.nodes.entries()) {
		const peers = fleet.nodes.length - 1;
		const around = {
			isPoller: index < 2,
			pickPeer: () =>
				String((index + 1 + Math.floor(fleet.random() * peers)) % fleet.nodes.length),
			peers,
			failureDomains: 2,
			hasStore: true,
		};
		perform(fleet, index, tick(state, around, fleet.now, fleet.random));
	}
}

function perform(fleet: Fleet, index: number, effects: FollowerEffect[]): void {
	for (const effect of effects) {
		perform(fleet, index, carryOut(fleet, index, effect));
	}
}

function carryOut(fleet: Fleet, index: number, effect: FollowerEffect): FollowerEffect[] {
	const {state, isCut} = fleet.nodes[index]!;
	const isStoreReached = fleet.isStoreUp && !isCut;
	if (effect.kind === 'listStore') {
		return listStore(fleet, state, isStoreReached);
	}

	if (effect.kind === 'askPeer') {
		const peer = fleet.nodes[Number(effect.nodeId)]!;
		return isCut || peer.isCut ? [] : ask(fleet, state, effect.nodeId);
	}

	if (effect.kind !== 'fetch') {
		return [];
	}

	const offer =
		effect.source.kind === 'store'
			? isStoreReached && readStore(fleet)
			: !isCut && readPeer(fleet, Number(effect.source.nodeId));
	if (!offer) {
		noteFetchFailure(state, team, fleet.now);
		return [];
	}

	return takeDocument(state, offer, effect.source.kind, times(fleet));
}

function listStore(
	fleet: Fleet,
	state: FollowerState,
	isReached: boolean,
): FollowerEffect[] {
	if (isReached) {
		const rowVersion = String(fleet.storeVersion);
		const rows = fleet.storeVersion === 0 ? [] : [{team, rowVersion}];
		takeStoreRows(state, rows, fleet.now);
		return [];
	}

	noteStoreFailure(state);
	return [];
}

function ask(fleet: Fleet, state: FollowerState, nodeId: string): FollowerEffect[] {
	const peer = fleet.nodes[Number(nodeId)]!.state;
	const answer = {
		nodeId,
		failureDomain: String(Number(nodeId) % 2),
		isReady: peer.isReady,
		heads: listHeads(peer.holding),
	};
	return takePeerAnswer(state, answer, fleet.now);
}

function readStore(fleet: Fleet): Offer {
	const version = fleet.storeVersion;
	return {team, version, changeId: String(version), text, rowVersion: String(version)};
}

function readPeer(fleet: Fleet, index: number): Offer | undefined {
	const {state, isCut} = fleet.nodes[index]!;
	return isCut ? undefined : state.holding.byTeam.get(team);
}

function times(fleet: Fleet) {
	return {now: fleet.now, wallClock: fleet.now};
}

/** Notes what every node holds and tells which node, if any, went to a lower version. */
export function findReverted(fleet: Fleet): number | undefined {
	return fleet.nodes.findIndex(node => {
		const version = heldVersion(node.state.holding, team);
		const hasReverted = version < node.highestSeen;
		node.highestSeen = version;
		return hasReverted;
	});
}
