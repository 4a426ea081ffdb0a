/** A simulated fleet of followers with a table, driven step by step without real time. */
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
	/** Version in the table when the node started. */
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

/** Restarts a node without its state. */
export function restart(fleet: Fleet, index: number): void {
	fleet.nodes[index] = {
		...createNode(fleet.storeVersion),
		isDisconnected: fleet.nodes[index]!.isDisconnected,
	};
}

/** Accepts a change at a node, which may crash before it applies the change. */
export function accept(fleet: Fleet, index: number, crashesAfterWrite: boolean): void {
	const node = fleet.nodes[index]!;
	if (!fleet.isStoreUp || node.isDisconnected) {
		return;
	}

	fleet.storeVersion += 1;
	if (crashesAfterWrite) {
		restart(fleet, index);
		return;
	}

	runEffects(
		fleet,
		index,
		handleDocument(node.state, readStore(fleet), 'store', times(fleet)),
	);
}

/** Runs one tick at every node, with its effects. */
export function step(fleet: Fleet): void {
	fleet.now += stepMilliseconds;
	for (const [index, {state}] of fleet.nodes.entries()) {
		const peerCount = fleet.nodes.length - 1;
		const fleetView = {
			isPoller: index < 2,
			pickPeer: () =>
				String((index + 1 + Math.floor(fleet.random() * peerCount)) % fleet.nodes.length),
			peerCount,
			failureDomainCount: 2,
			hasStore: true,
		};
		runEffects(fleet, index, tick(state, fleetView, fleet.now, fleet.random));
	}
}

function runEffects(fleet: Fleet, index: number, effects: FollowerEffect[]): void {
	for (const effect of effects) {
		runEffects(fleet, index, runEffect(fleet, index, effect));
	}
}

function runEffect(
	fleet: Fleet,
	index: number,
	effect: FollowerEffect,
): FollowerEffect[] {
	const {state, isDisconnected} = fleet.nodes[index]!;
	const isStoreReached = fleet.isStoreUp && !isDisconnected;
	if (effect.kind === 'listStore') {
		return listStore(fleet, state, isStoreReached);
	}

	if (effect.kind === 'askPeer') {
		const peer = fleet.nodes[Number(effect.nodeId)]!;
		return isDisconnected || peer.isDisconnected
			? []
			: askPeer(fleet, state, effect.nodeId);
	}

	if (effect.kind !== 'fetch') {
		return [];
	}

	const documentVersion =
		effect.source.kind === 'store'
			? isStoreReached && readStore(fleet)
			: !isDisconnected && readPeer(fleet, Number(effect.source.nodeId));
	if (!documentVersion) {
		handleFetchFailure(state, team, fleet.now);
		return [];
	}

	return handleDocument(state, documentVersion, effect.source.kind, times(fleet));
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

function askPeer(fleet: Fleet, state: FollowerState, nodeId: string): FollowerEffect[] {
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
	const {state, isDisconnected} = fleet.nodes[index]!;
	return isDisconnected ? undefined : state.applied.byTeam.get(team);
}

function times(fleet: Fleet) {
	return {now: fleet.now, wallClock: fleet.now};
}

/** Records the applied versions; returns the index of a node that went to a lower one, or -1. */
export function findReverted(fleet: Fleet): number | undefined {
	return fleet.nodes.findIndex(node => {
		const version = getAppliedVersion(node.state.applied, team);
		const hasReverted = version < node.highestSeen;
		node.highestSeen = version;
		return hasReverted;
	});
}
