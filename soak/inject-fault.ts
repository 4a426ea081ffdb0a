/** Carries the drawn faults out on the places and the store, and undoes them when their time is up. */
import {cuts, type LinkQuality, type LinkProxy} from '../stand-ins/network/link-proxy.js';
import {serverBehaviours, type ServerBehaviour} from '../stand-ins/platform/server.js';
import type {StandInStore} from '../stand-ins/platform/store.js';
import {createConfiguration} from '../test/support/relay-mesh.js';
import type {Disturbance, StoredVersion} from './checks.js';
import {faultKinds, isDisturbance, type Fault, type FaultKind} from './faults.js';
import {pause, type SoakNode} from './soak-node.js';

const delayMilliseconds = 120;
const storeDelayMilliseconds = 250;
const calmLink: LinkQuality = {delayMilliseconds: 0, bytesPerSecond: 0, cut: cuts.none};

export type SoakEnvironment = {
	readonly nodes: readonly SoakNode[];
	readonly store: StandInStore;
	/** Milliseconds of the run's clock. */
	readonly now: () => number;
	readonly versions: StoredVersion[];
	readonly disturbances: Disturbance[];
};

/** Stores a configuration that adds a route; the routes of the versions before stay. */
export function storeNextVersion({store, versions, now}: SoakEnvironment): void {
	const version = versions.length + 2;
	const prefixes = Array.from(
		{length: version - 1},
		(_, index) => `/since-${index + 2}/`,
	);
	store.putConfiguration(createConfiguration(version, ...prefixes));
	versions.push({version, at: now()});
}

/**
 * Carries a fault out.
 *
 * @param world the places and the store
 * @param fault what happens
 * @returns resolves when the fault is over
 */
export async function injectFault(world: SoakEnvironment, fault: Fault): Promise<void> {
	const disturbance = describeDisturbance(fault, world.now());
	if (disturbance) {
		world.disturbances.push(disturbance);
	}

	const place = world.nodes[fault.target]!;
	await strikes[fault.kind]({world, place, milliseconds: fault.durationMilliseconds});
	if (disturbance) {
		disturbance.until = world.now();
	}
}

/** Callers of every node feel a disturbed node or server; a planned stop only those of its node. */
function describeDisturbance(
	{kind, target}: Fault,
	from: number,
): Disturbance | undefined {
	const until = Number.POSITIVE_INFINITY;
	if (isDisturbance(kind)) {
		return {from, until, target: undefined};
	}

	return kind === faultKinds.stopNode ? {from, until, target} : undefined;
}

type Strike = {
	readonly world: SoakEnvironment;
	readonly place: SoakNode;
	readonly milliseconds: number;
};

const strikes: Readonly<Record<FaultKind, (strike: Strike) => Promise<void>>> = {
	[faultKinds.stopNode]: async ({place}) => place.restartNode('SIGTERM'),
	[faultKinds.killNode]: async ({place}) => place.restartNode('SIGKILL'),
	async [faultKinds.reloadNode]({place}) {
		place.signalNode('SIGHUP');
	},
	[faultKinds.replaceServer]: async ({place}) => place.replaceServer(),
	async [faultKinds.changeConfiguration]({world}) {
		storeNextVersion(world);
	},
	async [faultKinds.pauseNode]({place, milliseconds}) {
		place.signalNode('SIGSTOP');
		await pause(milliseconds);
		place.signalNode('SIGCONT');
	},
	async [faultKinds.jumpClock]({place, milliseconds}) {
		place.signalNode('SIGUSR2');
		await pause(milliseconds);
		place.signalNode('SIGUSR2');
	},
	[faultKinds.delayNode]: async strike =>
		spoilLinks(strike.place.nodeLinks, {delayMilliseconds}, strike),
	[faultKinds.resetNode]: async strike =>
		spoilLinks(strike.place.nodeLinks, {cut: cuts.reset}, strike),
	[faultKinds.silenceNode]: async strike =>
		spoilLinks(strike.place.nodeLinks, {cut: cuts.silent}, strike),
	[faultKinds.cutAnswersOfNode]: async strike =>
		spoilLinks(strike.place.nodeLinks, {cut: cuts.answers}, strike),
	[faultKinds.crashServer]: async ({place, milliseconds}) =>
		place.crashServer(milliseconds),
	[faultKinds.slowServer]: async strike => spoilServer(serverBehaviours.slow, strike),
	[faultKinds.shedServer]: async strike => spoilServer(serverBehaviours.shed, strike),
	[faultKinds.failServer]: async strike => spoilServer(serverBehaviours.fail, strike),
	[faultKinds.breakServer]: async strike =>
		spoilServer(serverBehaviours.breakOff, strike),
	[faultKinds.confuseServer]: async strike =>
		spoilServer(serverBehaviours.confuse, strike),
	[faultKinds.muteServer]: async strike => spoilServer(serverBehaviours.mute, strike),
	[faultKinds.resetServer]: async strike =>
		spoilLinks([strike.place.serverLink], {cut: cuts.reset}, strike),
	[faultKinds.silenceServer]: async strike =>
		spoilLinks([strike.place.serverLink], {cut: cuts.silent}, strike),
	async [faultKinds.refuseAtStore]({world, milliseconds}) {
		world.store.setUnavailable(true);
		await pause(milliseconds);
		world.store.setUnavailable(false);
	},
	async [faultKinds.slowStore]({world, milliseconds}) {
		world.store.setDelay(storeDelayMilliseconds);
		await pause(milliseconds);
		world.store.setDelay(0);
	},
	[faultKinds.silenceStore]: async strike =>
		spoilLinks([strike.place.storeLink], {cut: cuts.silent}, strike),
	async [faultKinds.loseStoreAnswers]({world, milliseconds}) {
		world.store.setResponseLoss(true);
		await pause(milliseconds);
		world.store.setResponseLoss(false);
	},
};

async function spoilLinks(
	links: readonly LinkProxy[],
	quality: Partial<LinkQuality>,
	{milliseconds}: Strike,
): Promise<void> {
	for (const link of links) {
		link.setQuality(quality);
	}

	await pause(milliseconds);
	for (const link of links) {
		link.setQuality(calmLink);
	}
}

async function spoilServer(
	behaviour: ServerBehaviour,
	{place, milliseconds}: Strike,
): Promise<void> {
	const server = place.server();
	server.setBehaviour(behaviour);
	await pause(milliseconds);
	server.setBehaviour(serverBehaviours.normal);
}
