/**
 * Fetches the routes from other nodes when gossip announces a newer version than this node has. A
 * node that cannot reach the table thus still gets changes.
 */
import {Buffer} from 'node:buffer';
import {request as sendRequest} from 'node:http';
import {setTimeout as sleepFor} from 'node:timers/promises';
import {collectBody} from '../http/index.js';
import type {Logger} from '../log/index.js';
import {memberStatuses, type Member, type Membership} from '../membership/index.js';
import {newerThanHeader, routesPath} from './peer-listener.js';
import type {RoutesHolder} from './active-routes.js';

export type PeerRoutesOptions = {
	readonly holder: RoutesHolder;
	readonly membership: Pick<Membership, 'onVersion' | 'versionOf' | 'all' | 'self'>;
	readonly log: Logger;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	/** Fetches routes newer than a version from another node; undefined if it gave none. */
	readonly fetch?: (member: Member, version: number) => Promise<string | undefined>;
	/** Resolves after a time in milliseconds. */
	readonly sleep?: (milliseconds: number) => Promise<unknown>;
};

export type PeerRoutesFollower = {readonly close: () => void};

/** Gossip topic for the version of the routes. */
export const routesTopic = 'routes';
/** Random delay that spreads the fetches of nodes that learn of a version at the same time. */
const maximumJitterMilliseconds = 100;
/** Mean pause before the next round of fetches. */
const roundPauseMilliseconds = 300;
const maximumRoutesBytes = 4_194_304;
const peerTimeoutMilliseconds = 500;
/** Time after which the next node is asked. */
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
	const {fetch = fetchRoutes, sleep = sleepFor} = options;
	const state = {isClosed: false};
	let isCatchingUp = false;

	function isBehind(): boolean {
		const announced = membership.versionOf(routesTopic) ?? 0;
		return announced > (holder.current()?.table.version ?? 0);
	}

	/** Asks the next peer when one has not answered after a short time; its answer still counts. */
	async function fetchFromPeers(announcer: string | undefined): Promise<void> {
		const order = orderPeers(membership, announcer, random);
		for (const member of order.slice(0, peersPerRound)) {
			const answer = activateFrom(member);
			await Promise.race([answer, sleep(nextPeerMilliseconds)]);
			if (!isBehind()) {
				return;
			}
		}
	}

	async function activateFrom(member: Member): Promise<void> {
		const text = await fetch(member, holder.current()?.table.version ?? 0);
		if (text === undefined) {
			log.info('peer gave no routes', {peer: member.nodeId});
			return;
		}

		holder.activate(text, member.nodeId);
	}

	async function catchUp(announcer?: string): Promise<void> {
		if (isCatchingUp) {
			return;
		}

		isCatchingUp = true;
		await sleep(maximumJitterMilliseconds * random());
		for (let round = 1; isBehind() && !state.isClosed; round += 1) {
			await fetchFromPeers(announcer);
			if (isBehind()) {
				log.info('routes still lacking', {
					version: holder.current()?.table.version,
					announced: membership.versionOf(routesTopic),
					announcer,
					round,
				});
				await sleep(roundPauseMilliseconds * (0.5 + random()));
			}
		}

		isCatchingUp = false;
	}

	membership.onVersion((topic, version, announcer) => {
		if (topic === routesTopic && isBehind()) {
			log.info('newer routes announced', {
				version,
				announcer,
				before: holder.current()?.table.version,
			});
			void catchUp(announcer);
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

/**
 * Orders the nodes that may have a version: a few in this node's failure domain, where bytes cost
 * nothing, then the one that announced it, then those of this node's region, then the others.
 */
function orderPeers(
	membership: Pick<Membership, 'all' | 'self'>,
	announcer: string | undefined,
	random: () => number,
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

/** Fetches routes newer than a version; undefined if the node has none or does not respond in time. */
async function fetchRoutes(member: Member, version: number): Promise<string | undefined> {
	return new Promise(resolve => {
		const request = sendRequest({
			host: member.host,
			port: member.peerPort,
			path: routesPath,
			headers: {[newerThanHeader]: String(version)},
			agent: false,
			signal: AbortSignal.timeout(peerTimeoutMilliseconds),
		});
		request.on('response', response => {
			if (response.statusCode !== 200) {
				response.resume();
				resolve(undefined);
				return;
			}

			collectBody(response, maximumRoutesBytes, whole => {
				resolve(whole && Buffer.from(whole).toString('utf8'));
			});
		});
		request.on('error', () => {
			resolve(undefined);
		});
		request.end();
	});
}
