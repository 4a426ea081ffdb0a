/**
 * Fetches the routes from other nodes when gossip announces a newer version than this node has. A
 * node that cannot reach the table thus still gets changes.
 */
import {Buffer} from 'node:buffer';
import {request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {collectBody} from '../http/index.js';
import type {Logger} from '../log/index.js';
import {memberStatuses, type Member, type Membership} from '../membership/index.js';
import {routesPath} from './peer-listener.js';
import type {RoutesHolder} from './active-routes.js';

export type PeerRoutesOptions = {
	readonly holder: RoutesHolder;
	readonly membership: Pick<Membership, 'onVersion' | 'versionOf' | 'all' | 'self'>;
	readonly log: Logger;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	/** Fetches the active routes of another node; undefined on failure. */
	readonly fetch?: (member: Member) => Promise<string | undefined>;
};

export type PeerRoutesFollower = {readonly close: () => void};

/** Gossip topic for the version of the routes. */
export const routesTopic = 'routes';
/** Random delay that spreads the fetches of nodes that learn of a version at the same time. */
const maximumJitterMilliseconds = 100;
/** Mean pause before the next round of fetches. */
const roundPauseMilliseconds = 300;
const peerTimeoutMilliseconds = 500;
/** Nodes asked in one round. */
const peersPerRound = 5;

/**
 * Fetches newer routes from other nodes until it is closed.
 *
 * @param options the holder, the membership and the log
 * @returns the follower
 */
export function followPeerRoutes(options: PeerRoutesOptions): PeerRoutesFollower {
	const {holder, membership, log, random, fetch = fetchRoutes} = options;
	const state = {isClosed: false};
	let isCatchingUp = false;

	function isBehind(): boolean {
		const announced = membership.versionOf(routesTopic) ?? 0;
		return announced > (holder.current()?.table.version ?? 0);
	}

	async function fetchFromPeers(announcer: string): Promise<void> {
		for (const member of orderPeers(membership, announcer).slice(0, peersPerRound)) {
			if (!isBehind()) {
				return;
			}

			const text = await fetch(member);
			if (text === undefined) {
				log.info('peer gave no routes', {peer: member.nodeId});
				continue;
			}

			holder.activate(text, member.nodeId);
		}
	}

	async function catchUp(announcer: string): Promise<void> {
		if (isCatchingUp) {
			return;
		}

		isCatchingUp = true;
		await sleep(maximumJitterMilliseconds * random());
		while (isBehind() && !state.isClosed) {
			await fetchFromPeers(announcer);
			if (isBehind()) {
				await sleep(roundPauseMilliseconds * (0.5 + random()));
			}
		}

		isCatchingUp = false;
	}

	membership.onVersion((topic, _version, announcer) => {
		if (topic === routesTopic && isBehind()) {
			void catchUp(announcer);
		}
	});
	return {
		close() {
			state.isClosed = true;
		},
	};
}

/**
 * Orders the nodes that may have a version: the one that announced it, then those in this node's
 * failure domain, where bytes cost nothing and a node polls the table, then the others.
 */
function orderPeers(
	membership: Pick<Membership, 'all' | 'self'>,
	announcer: string,
): Member[] {
	const {nodeId: ownId, failureDomain} = membership.self();
	const distanceRank = (member: Member): number => {
		if (member.nodeId === announcer) {
			return 0;
		}

		return member.failureDomain === failureDomain ? 1 : 2;
	};

	return membership
		.all()
		.filter(({nodeId, status}) => nodeId !== ownId && status !== memberStatuses.dead)
		.toSorted((left, right) => distanceRank(left) - distanceRank(right));
}

/** Fetches the routes of a node; undefined if it has none or does not respond in time. */
async function fetchRoutes(member: Member): Promise<string | undefined> {
	return new Promise(resolve => {
		const request = sendRequest({
			host: member.host,
			port: member.peerPort,
			path: routesPath,
			agent: false,
			signal: AbortSignal.timeout(peerTimeoutMilliseconds),
		});
		request.on('response', response => {
			if (response.statusCode !== 200) {
				response.resume();
				resolve(undefined);
				return;
			}

			collectBody(response, whole => {
				resolve(whole && Buffer.from(whole).toString('utf8'));
			});
		});
		request.on('error', () => {
			resolve(undefined);
		});
		request.end();
	});
}
