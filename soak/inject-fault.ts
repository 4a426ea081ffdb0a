/** Injects the scheduled faults into nodes, servers and the store, and reverts them afterwards. */
import {cuts, type LinkQuality, type LinkProxy} from '../stand-ins/network/link-proxy.js';
import {serverBehaviours, type ServerBehaviour} from '../stand-ins/platform/server.js';
import type {StandInStore, StoreCopy} from '../stand-ins/platform/store.js';
import {createConfiguration} from '../test/support/relay-mesh.js';
import type {Disturbance, ServerLimit, StoredVersion} from './checks.js';
import {faultKinds, isDisturbance, type Fault, type FaultKind} from './faults.js';
import {pause, type SoakNode} from './soak-node.js';

const delayMilliseconds = 120;
const storeDelayMilliseconds = 250;
const limitPerSecond = 4;
/** Time in which a limit is checked, after the time in which nodes may learn of it. */
const limitMilliseconds = 8000;
/** A restore goes back by at least this much, where there is a copy so old. */
const copyAgeMilliseconds = 3000;
/** Time until the operator has written its newest configuration to a restored store again. */
const rewriteMilliseconds = 500;
const normalLink: LinkQuality = {delayMilliseconds: 0, bytesPerSecond: 0, cut: cuts.none};

export type SoakEnvironment = {
	readonly nodes: readonly SoakNode[];
	readonly store: StandInStore;
	/** Milliseconds since the start of the run. */
	readonly now: () => number;
	readonly versions: StoredVersion[];
	readonly disturbances: Disturbance[];
	readonly limits: ServerLimit[];
	/** Copies of the store, made before each change of the configuration. */
	readonly copies: TimedCopy[];
};

export type TimedCopy = {readonly copy: StoreCopy; readonly at: number};

/** Stores a configuration that adds a route to those of the previous versions. */
export function storeNextVersion(environment: SoakEnvironment): void {
	const {store, versions, copies, now} = environment;
	copies.push({copy: store.takeCopy(), at: now()});
	const version = versions.length + 2;
	putVersion(store, version);
	versions.push({version, at: now()});
}

function putVersion(store: StandInStore, version: number): void {
	const prefixes = Array.from(
		{length: version - 1},
		(_, index) => `/since-${index + 2}/`,
	);
	store.putConfiguration(createConfiguration(version, ...prefixes));
}

/**
 * Injects a fault and records its disturbance.
 *
 * @param environment the nodes and the store
 * @param fault the fault
 * @returns resolves when the fault is over
 */
export async function injectFault(
	environment: SoakEnvironment,
	fault: Fault,
): Promise<void> {
	const disturbance = createDisturbance(fault, environment.now());
	if (disturbance) {
		environment.disturbances.push(disturbance);
	}

	const node = environment.nodes[fault.target]!;
	await injectors[fault.kind]({
		environment,
		node,
		durationMilliseconds: fault.durationMilliseconds,
	});
	if (disturbance) {
		disturbance.until = environment.now();
	}
}

/** An unplanned fault disturbs the callers of every node, a planned stop only those of its node. */
function createDisturbance({kind, target}: Fault, from: number): Disturbance | undefined {
	const until = Number.POSITIVE_INFINITY;
	if (isDisturbance(kind)) {
		return {from, until, target: undefined};
	}

	return kind === faultKinds.stopNode ? {from, until, target} : undefined;
}

type FaultContext = {
	readonly environment: SoakEnvironment;
	readonly node: SoakNode;
	readonly durationMilliseconds: number;
};

const injectors: Readonly<Record<FaultKind, (context: FaultContext) => Promise<void>>> = {
	[faultKinds.stopNode]: async ({node}) => node.restartNode('SIGTERM'),
	[faultKinds.killNode]: async ({node}) => node.restartNode('SIGKILL'),
	async [faultKinds.reloadNode]({node}) {
		node.signalNode('SIGHUP');
	},
	[faultKinds.replaceServer]: async ({node}) => node.replaceServer(),
	async [faultKinds.changeConfiguration]({environment}) {
		storeNextVersion(environment);
	},
	async [faultKinds.pauseNode]({node, durationMilliseconds}) {
		node.signalNode('SIGSTOP');
		await pause(durationMilliseconds);
		node.signalNode('SIGCONT');
	},
	async [faultKinds.jumpClock]({node, durationMilliseconds}) {
		node.signalNode('SIGUSR2');
		await pause(durationMilliseconds);
		node.signalNode('SIGUSR2');
	},
	[faultKinds.delayNode]: async context =>
		degradeLinks(context.node.nodeLinks, {delayMilliseconds}, context),
	[faultKinds.resetNode]: async context =>
		degradeLinks(context.node.nodeLinks, {cut: cuts.reset}, context),
	[faultKinds.silenceNode]: async context =>
		degradeLinks(context.node.nodeLinks, {cut: cuts.silent}, context),
	[faultKinds.cutAnswersOfNode]: async context =>
		degradeLinks(context.node.nodeLinks, {cut: cuts.answers}, context),
	[faultKinds.crashServer]: async ({node, durationMilliseconds}) =>
		node.crashServer(durationMilliseconds),
	[faultKinds.slowServer]: async context => degradeServer(serverBehaviours.slow, context),
	[faultKinds.shedServer]: async context => degradeServer(serverBehaviours.shed, context),
	[faultKinds.failServer]: async context => degradeServer(serverBehaviours.fail, context),
	[faultKinds.breakServer]: async context =>
		degradeServer(serverBehaviours.breakOff, context),
	[faultKinds.confuseServer]: async context =>
		degradeServer(serverBehaviours.confuse, context),
	[faultKinds.muteServer]: async context => degradeServer(serverBehaviours.mute, context),
	async [faultKinds.limitServer]({environment, node, durationMilliseconds}) {
		const id = node.serverId();
		const {limits, now} = environment;
		if (limits.some(limit => limit.server === id)) {
			return;
		}

		const server = node.server();
		const limit: ServerLimit = {
			server: id,
			requestsPerSecond: limitPerSecond,
			from: now(),
			until: Number.POSITIVE_INFINITY,
		};
		limits.push(limit);
		server.changeNotice({requestsPerSecond: limitPerSecond});
		await pause(limitMilliseconds + durationMilliseconds);
		limit.until = now();
		server.changeNotice({requestsPerSecond: undefined});
	},
	[faultKinds.resetServer]: async context =>
		degradeLinks([context.node.serverLink], {cut: cuts.reset}, context),
	[faultKinds.silenceServer]: async context =>
		degradeLinks([context.node.serverLink], {cut: cuts.silent}, context),
	async [faultKinds.refuseAtStore]({environment, durationMilliseconds}) {
		environment.store.setUnavailable(true);
		await pause(durationMilliseconds);
		environment.store.setUnavailable(false);
	},
	async [faultKinds.slowStore]({environment, durationMilliseconds}) {
		environment.store.setDelay(storeDelayMilliseconds);
		await pause(durationMilliseconds);
		environment.store.setDelay(0);
	},
	[faultKinds.silenceStore]: async context =>
		degradeLinks([context.node.storeLink], {cut: cuts.silent}, context),
	async [faultKinds.loseStoreAnswers]({environment, durationMilliseconds}) {
		environment.store.setResponseLoss(true);
		await pause(durationMilliseconds);
		environment.store.setResponseLoss(false);
	},
	async [faultKinds.restoreStore]({environment, durationMilliseconds}) {
		const {store, copies, versions, now} = environment;
		const isOld = ({at}: TimedCopy): boolean => now() - at >= copyAgeMilliseconds;
		const {copy} = copies.findLast(candidate => isOld(candidate)) ?? copies[0]!;
		store.setUnavailable(true);
		store.restore(copy);
		await pause(durationMilliseconds);
		store.setUnavailable(false);
		await pause(rewriteMilliseconds);
		putVersion(store, versions.at(-1)?.version ?? 1);
	},
};

async function degradeLinks(
	links: readonly LinkProxy[],
	quality: Partial<LinkQuality>,
	{durationMilliseconds}: FaultContext,
): Promise<void> {
	for (const link of links) {
		link.setQuality(quality);
	}

	await pause(durationMilliseconds);
	for (const link of links) {
		link.setQuality(normalLink);
	}
}

async function degradeServer(
	behaviour: ServerBehaviour,
	{node, durationMilliseconds}: FaultContext,
): Promise<void> {
	const server = node.server();
	server.setBehaviour(behaviour);
	await pause(durationMilliseconds);
	server.setBehaviour(serverBehaviours.normal);
}
