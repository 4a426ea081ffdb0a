/**
 * Simulates how a new version of the routes spreads: the real gossip and the real follower of each node,
 * on a virtual clock. Some nodes have the version from the table; all others get it from peers.
 */
import {setImmediate as afterCallbacks} from 'node:timers/promises';
import type {Member, VersionListener} from '../../src/membership/index.js';
import {createAwaitedRoutes, type AwaitedRoutes} from '../../src/relay/awaited-routes.js';
import type {RoutesHolder} from '../../src/relay/active-routes.js';
import {relayMembershipParameters} from '../../src/relay/membership-parameters.js';
import {followPeerRoutes, routesTopic} from '../../src/relay/peer-routes.js';
import {
	createMesh,
	startMembers,
	type Mesh,
	type MeshNode,
} from '../membership/simulated-mesh.js';
import {createVersionHolder, silentLog} from '../support/routes-holder.js';

const ignore = (): void => undefined;
const domainRoundTrip = 2;
const regionRoundTrip = 3;
const remoteRoundTrip = 18;
const waitMilliseconds = 400;
const silenceMilliseconds = 700;
const firstVersion = 1;

export type SpreadOptions = {
	readonly seed: number;
	readonly nodes: number;
	readonly domains: number;
	readonly regions: number;
	/** Whether a node gets the changed version from the table. */
	readonly isServed: (member: Member) => boolean;
	/** Whether a node neither answers other nodes in time nor passes anything on. */
	readonly isSilent?: (member: Member) => boolean;
	/** Pauses between further changes that the served nodes get, in milliseconds; none by default. */
	readonly pauses?: readonly number[];
	/** Time after which the simulation ends at the latest, in milliseconds. */
	readonly bound: number;
};

export type Spread = {
	/** Milliseconds after the last change at which each node had it; infinite if it did not in time. */
	readonly delays: number[];
	/** Questions to nodes that had no newer version. */
	readonly vainQuestions: number;
};

/** Simulates the spread of one change. */
export async function simulateSpread(options: SpreadOptions): Promise<Spread> {
	const mesh = createMesh({
		seed: options.seed,
		parameters: relayMembershipParameters,
		keepsEffects: true,
	});
	startMembers(mesh, options.nodes, index => {
		const region = index % options.regions;
		return {
			region: `region-${region}`,
			failureDomain: `domain-${region}-${Math.floor(index / options.regions) % (options.domains / options.regions)}`,
		};
	});
	const clock = createVirtualClock(mesh);
	const delays = mesh.nodes.map(() => Number.POSITIVE_INFINITY);
	const {pauses = []} = options;
	const lastVersion = firstVersion + 1 + pauses.length;
	const changes = listChanges(mesh.now, pauses);
	const changedAt = changes.at(-1)!.at;
	const count = {vain: 0};
	const members = new Map<string, SimulatedNode>();
	const listeners = mesh.nodes.map((node, index) => {
		const holder = createVersionHolder(version => {
			mesh.send(node, {kind: 'publishVersion', topic: routesTopic, version});
			awaited.notify();
			if (version === lastVersion) {
				delays[index] = mesh.now - changedAt;
			}
		});
		const awaited = createAwaitedRoutes({
			version: () => holder.current()?.table.version ?? 0,
			sleep: clock.sleep,
		});
		holder.activate(String(firstVersion), 'table');
		members.set(node.nodeId, {node, holder, awaited});
		return {node, holder};
	});
	const isSilent = (node: MeshNode) =>
		options.isSilent?.(node.state.self.member) ?? false;
	mesh.isCut = (from, to) => isSilent(from) || isSilent(to);
	const announceTo = listeners.map(({node, holder}) => {
		let announce: VersionListener = ignore;
		followPeerRoutes({
			holder,
			membership: {
				all: () => [...node.state.roster.records.values()].map(({member}) => member),
				self: () => node.state.self.member,
				versionOf: topic => node.state.topics.get(topic),
				onVersion(listener) {
					announce = listener;
				},
			},
			log: silentLog,
			random: mesh.random,
			sleep: clock.sleep,
			async ask(member, {newerThan, onWaiting}) {
				const peer = members.get(member.nodeId)!;
				const roundTrip = chooseRoundTrip(node, peer.node);
				await clock.sleep(roundTrip / 2);
				if (isSilent(peer.node) || isSilent(node)) {
					await clock.sleep(silenceMilliseconds);
					return undefined;
				}

				const lacks = () => peer.holder.current()!.table.version <= newerThan;
				if (lacks()) {
					count.vain += 1;
					void clock.sleep(roundTrip / 2).then(onWaiting);
					await peer.awaited.wait(newerThan, waitMilliseconds);
				}

				const text = lacks() ? undefined : peer.holder.current()!.text;
				await clock.sleep(roundTrip / 2);
				return text;
			},
		});
		return (version: number, from: string) => {
			announce(routesTopic, version, from);
		};
	});
	const served = listeners.filter(({node}) => options.isServed(node.state.self.member));
	for (const {node} of listeners) {
		node.effects.length = 0;
	}

	const isPending = () =>
		listeners.some(
			({node}, index) => !isSilent(node) && delays[index] === Number.POSITIVE_INFINITY,
		);
	while (isPending() && mesh.now - changedAt < options.bound) {
		for (const {version} of changes.filter(({at}) => at === mesh.now)) {
			for (const {holder} of served) {
				holder.activate(String(version), 'table');
			}
		}

		mesh.run(1);
		for (const [index, {node}] of listeners.entries()) {
			for (const effect of node.effects.splice(0)) {
				if (effect.kind === 'versionRaised' && effect.topic === routesTopic) {
					announceTo[index]!(effect.version, effect.from);
				}
			}
		}

		clock.wake();
		await afterCallbacks();
	}

	return {delays, vainQuestions: count.vain};
}

/** Lists the versions from the second one on, with the times at which the served nodes get them. */
function listChanges(startsAt: number, pauses: readonly number[]) {
	let at = startsAt;
	const changes = [{version: firstVersion + 1, at}];
	for (const [index, pause] of pauses.entries()) {
		at += pause;
		changes.push({version: firstVersion + 2 + index, at});
	}

	return changes;
}

type SimulatedNode = {
	readonly node: MeshNode;
	readonly holder: RoutesHolder;
	readonly awaited: AwaitedRoutes;
};

function chooseRoundTrip(from: MeshNode, to: MeshNode): number {
	const [left, right] = [from.state.self.member, to.state.self.member];
	if (left.region !== right.region) {
		return remoteRoundTrip;
	}

	return left.failureDomain === right.failureDomain ? domainRoundTrip : regionRoundTrip;
}

function createVirtualClock(mesh: Mesh) {
	const sleepers = new Map<number, Array<() => void>>();
	return {
		async sleep(milliseconds: number): Promise<void> {
			const at = mesh.now + Math.max(1, Math.ceil(milliseconds));
			await new Promise<void>(resolve => {
				sleepers.set(at, [...(sleepers.get(at) ?? []), resolve]);
			});
		},
		/** Wakes all whose time has come. */
		wake(): void {
			for (const resolve of sleepers.get(mesh.now) ?? []) {
				resolve();
			}

			sleepers.delete(mesh.now);
		},
	};
}
