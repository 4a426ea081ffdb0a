/** A small fleet of followers with a table, driven step by step; nothing in it waits. */
import {
	createFollower,
	type FollowerEffect,
	type FollowerState,
} from '../../src/configuration/follower-state.js';
import {
	handleFetchFailure,
	handleStoreFailure,
	handleDocument,
	handlePeerAnswer,
	handleStoreRows,
	tick,
} from '../../src/configuration/follower.js';
import {
	getAppliedVersion,
	listHeads,
	type DocumentVersion,
} from '../../src/configuration/applied-documents.js';
import {createDocumentText} from '../support/configuration.js';

export const team = 'darkrooms';

const text = createDocumentText(team);
const stepMilliseconds = 50;

type ModelNode = {
	state: FollowerState;
	isDisconnected: boolean;
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
	return {state: createFollower(), isDisconnected: false, versionAtStart, highestSeen: 0};
}

/** Starts a node anew with an empty memory. */
export function restart(fleet: Fleet, index: number): void {
	fleet.nodes[index] = {
		...createNode(fleet.storeVersion),
		isDisconnected: fleet.nodes[index]!.isDisconnected,
	};
}

/** Accepts a change at a node, which may die before it puts the change in force. */
export function accept(fleet: Fleet, index: number, diesAfterWrite: boolean): void {
	const node = fleet.nodes[index]!;
	if (!fleet.isStoreUp || node.isDisconnected) {
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
		handleDocument(node.state, readStore(fleet), 'store', times(fleet)),
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
	const {state, isDisconnected: isCut} = fleet.nodes[index]!;
	const isStoreReached = fleet.isStoreUp && !isCut;
	if (effect.kind === 'listStore') {
		return listStore(fleet, state, isStoreReached);
	}

	if (effect.kind === 'askPeer') {
		const peer = fleet.nodes[Number(effect.nodeId)]!;
		return isCut || peer.isDisconnected ? [] : ask(fleet, state, effect.nodeId);
	}

	if (effect.kind !== 'fetch') {
		return [];
	}

	const offer =
		effect.source.kind === 'store'
			? isStoreReached && readStore(fleet)
			: !isCut && readPeer(fleet, Number(effect.source.nodeId));
	if (!offer) {
		handleFetchFailure(state, team, fleet.now);
		return [];
	}

	return handleDocument(state, offer, effect.source.kind, times(fleet));
}

function listStore(
	fleet: Fleet,
	state: FollowerState,
	isReached: boolean,
): FollowerEffect[] {
	if (isReached) {
		const rowVersion = String(fleet.storeVersion);
		const rows = fleet.storeVersion === 0 ? [] : [{team, rowVersion}];
		handleStoreRows(state, rows, fleet.now);
		return [];
	}

	handleStoreFailure(state);
	return [];
}

function ask(fleet: Fleet, state: FollowerState, nodeId: string): FollowerEffect[] {
	const peer = fleet.nodes[Number(nodeId)]!.state;
	const answer = {
		nodeId,
		failureDomain: String(Number(nodeId) % 2),
		isReady: peer.isReady,
		heads: listHeads(peer.applied),
	};
	return handlePeerAnswer(state, answer, fleet.now);
}

function readStore(fleet: Fleet): DocumentVersion {
	const version = fleet.storeVersion;
	return {team, version, changeId: String(version), text, rowVersion: String(version)};
}

function readPeer(fleet: Fleet, index: number): DocumentVersion | undefined {
	const {state, isDisconnected: isCut} = fleet.nodes[index]!;
	return isCut ? undefined : state.applied.byTeam.get(team);
}

function times(fleet: Fleet) {
	return {now: fleet.now, wallClock: fleet.now};
}

/** Notes what every node holds and tells which node, if any, went to a lower version. */
export function findReverted(fleet: Fleet): number | undefined {
	return fleet.nodes.findIndex(node => {
		const version = getAppliedVersion(node.state.applied, team);
		const hasReverted = version < node.highestSeen;
		node.highestSeen = version;
		return hasReverted;
	});
}
