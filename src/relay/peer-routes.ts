/**
 * Fetches the routes from other nodes when gossip announces a newer version than this node has. A
 * node that cannot reach the table thus still gets changes.
 */
import {setTimeout as sleepFor} from 'node:timers/promises';
import type {Logger} from '../log/index.js';
import {memberStatuses, type Member, type Membership} from '../membership/index.js';
import type {RoutesHolder} from './active-routes.js';
import {
	askForRoutes,
	type AskForRoutes,
	type RoutesQuestion,
} from './peer-routes-question.js';

export type PeerRoutesOptions = {
	readonly holder: RoutesHolder;
	readonly membership: Pick<Membership, 'onVersion' | 'versionOf' | 'all' | 'self'>;
	readonly log: Logger;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	/** Asks another node for newer routes; over HTTP by default. */
	readonly ask?: AskForRoutes;
	/** Resolves after a time in milliseconds. */
	readonly sleep?: (milliseconds: number) => Promise<unknown>;
};

export type PeerRoutesFollower = {readonly close: () => void};

/** Gossip topic for the version of the routes. */
export const routesTopic = 'routes';
/** Random delay that spreads the fetches of nodes that learn of a version at the same time. */
const maximumJitterMilliseconds = 100;
/** Mean time from the start of a round of questions to the next one, if all peers answer in vain. */
const minimumRoundMilliseconds = 300;
/** Time after which the next node is asked if one says nothing. */
const nextPeerMilliseconds = 150;
/** Nodes asked in one round. */
const peersPerRound = 6;
/** Nodes of the own failure domain asked in one round; they may all lack the version. */
const peersOfDomainPerRound = 2;

/**
 * Fetches newer routes from other nodes until it is closed.
 *
 * @param options the holder, the membership and the log
 * @returns the follower
 */
export function followPeerRoutes(options: PeerRoutesOptions): PeerRoutesFollower {
	const {holder, membership, log, random} = options;
	const {ask = askForRoutes, sleep = sleepFor} = options;
	const state = {isClosed: false};
	let isCatchingUp = false;
	/** The node that told of the newest version. */
	let announcer: string | undefined;

	function isBehind(): boolean {
		const announced = membership.versionOf(routesTopic) ?? 0;
		return announced > (holder.current()?.table.version ?? 0);
	}

	/**
	 * Asks the next peer as soon as one says that it lacks the routes too, or does not answer for a short
	 * time. All those asked may still answer; the first that begins to send the routes is the only one to do so,
	 * since the document may be large and the link narrow.
	 */
	async function fetchFromPeers(round: number): Promise<void> {
		const members = choosePeers(membership, {announcer, round, random});
		const controllers = members.map(() => new AbortController());
		const answers: Array<Promise<void>> = [];
		const isComplete = createSignal();
		const state = {isReceiving: false};
		for (const [index, member] of members.entries()) {
			const isUnderWay = createSignal();
			const answer = activateFrom(member, {
				signal: controllers[index]!.signal,
				onWaiting: isUnderWay.raise,
				onReceiving() {
					state.isReceiving = true;
					isUnderWay.raise();
					for (const other of controllers) {
						if (other !== controllers[index]) {
							other.abort();
						}
					}
				},
			});
			answers.push(answer);
			void answer.then(() => {
				if (!isBehind()) {
					isComplete.raise();
				}
			});
			await Promise.race([answer, isUnderWay.raised, sleep(nextPeerMilliseconds)]);
			if (!isBehind() || state.isReceiving) {
				break;
			}
		}

		await Promise.race([isComplete.raised, Promise.all(answers)]);
		for (const controller of controllers) {
			controller.abort();
		}
	}

	async function activateFrom(
		member: Member,
		question: Omit<RoutesQuestion, 'newerThan'>,
	): Promise<void> {
		const newerThan = holder.current()?.table.version ?? 0;
		const text = await ask(member, {...question, newerThan});
		if (text !== undefined) {
			holder.activate(text, member.nodeId);
			return;
		}

		if (!question.signal.aborted) {
			log.info('peer gave no routes', {peer: member.nodeId});
		}
	}

	async function catchUp(): Promise<void> {
		if (isCatchingUp) {
			return;
		}

		isCatchingUp = true;
		await sleep(maximumJitterMilliseconds * random());
		for (let round = 1; isBehind() && !state.isClosed; round += 1) {
			const pause = sleep(minimumRoundMilliseconds * (0.5 + random()));
			await fetchFromPeers(round);
			if (isBehind()) {
				log.info('routes still lacking', {
					version: holder.current()?.table.version,
					announced: membership.versionOf(routesTopic),
					announcer,
					round,
				});
				await pause;
			}
		}

		isCatchingUp = false;
	}

	membership.onVersion((topic, version, from) => {
		if (topic === routesTopic && isBehind()) {
			announcer = from;
			log.info('newer routes announced', {
				version,
				announcer,
				before: holder.current()?.table.version,
			});
			void catchUp();
		}
	});
	// A version that arrived while this node joined was announced before anyone listened.
	if (isBehind()) {
		void catchUp();
	}

	return {
		close() {
			state.isClosed = true;
		},
	};
}

/** Something that happens at most once. */
function createSignal(): {readonly raise: () => void; readonly raised: Promise<void>} {
	let raise!: () => void;
	const raised = new Promise<void>(resolve => {
		raise = resolve;
	});
	return {raise, raised};
}

type RoundOptions = {
	readonly announcer: string | undefined;
	/** From one. */
	readonly round: number;
	/** A number from 0 to below 1. */
	readonly random: () => number;
};

/**
 * Chooses the nodes that are asked in a round: a few in this node's failure domain, where bytes cost
 * nothing, then the one that announced the version, then those of this node's region, then the others. After
 * the first round one node of another region is among them, since the own region may lack the version.
 */
function choosePeers(
	membership: Pick<Membership, 'all' | 'self'>,
	options: RoundOptions,
): Member[] {
	const {region} = membership.self();
	const ordered = orderPeers(membership, options);
	const nearest = ordered.slice(0, peersPerRound);
	const remote = ordered.find(member => member.region !== region);
	if (options.round === 1 || remote === undefined || nearest.includes(remote)) {
		return nearest;
	}

	return [...nearest.slice(0, peersPerRound - 1), remote];
}

function orderPeers(
	membership: Pick<Membership, 'all' | 'self'>,
	{announcer, random}: RoundOptions,
): Member[] {
	const {nodeId: ownId, failureDomain, region} = membership.self();
	const distanceRank = (member: Member): number => {
		if (member.failureDomain === failureDomain) {
			return member.nodeId === announcer ? 0 : 1;
		}

		if (member.nodeId === announcer) {
			return 2;
		}

		return member.region === region ? 3 : 4;
	};

	const ordered = membership
		.all()
		.filter(({nodeId, status}) => nodeId !== ownId && status !== memberStatuses.dead)
		.map(member => ({member, rank: distanceRank(member), randomKey: random()}))
		.toSorted(
			(left, right) => left.rank - right.rank || left.randomKey - right.randomKey,
		);
	const near = ordered.filter(({rank}) => rank <= 1).slice(0, peersOfDomainPerRound);
	return [...near, ...ordered.filter(({rank}) => rank > 1)].map(({member}) => member);
}
