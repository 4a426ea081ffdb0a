/**
 * Takes the routes from another node when the gossip tells of a version that has not come. A node
 * whose table is away so learns of changes from the others.
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
	/** Reads the routes that another node has in force; undefined when it gives none. */
	readonly fetch?: (member: Member) => Promise<string | undefined>;
};

/** Ends the taking of routes. */
export type PeerRoutesFollower = {readonly close: () => void};

/** Gossip topic of the version of the routes. */
export const routesTopic = 'routes';
/** Spreads the nodes that hear of a version at once, in milliseconds. */
const maximumJitterMilliseconds = 100;
/** Pause before all holders are asked again, in milliseconds. */
const roundPauseMilliseconds = 300;
const peerTimeoutMilliseconds = 500;
/** Nodes that are asked for a version before the next pause. */
const peersPerRound = 5;

/**
 * Takes newer routes from other nodes until it is closed.
 *
 * @param options the holder, the other nodes and the log
 * @returns what ends it
 */
export function followPeerRoutes(options: PeerRoutesOptions): PeerRoutesFollower {
	const {holder, membership, log, random, fetch = fetchRoutes} = options;
	const life = {isClosed: false};
	let isCatchingUp = false;

	function isBehind(): boolean {
		const known = membership.versionOf(routesTopic) ?? 0;
		return known > (holder.current()?.table.version ?? 0);
	}

	async function fetchFromPeers(from: string): Promise<void> {
		for (const member of orderPeers(membership, from).slice(0, peersPerRound)) {
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

	async function catchUp(from: string): Promise<void> {
		if (isCatchingUp) {
			return;
		}

		isCatchingUp = true;
		await sleep(maximumJitterMilliseconds * random());
		while (isBehind() && !life.isClosed) {
			await fetchFromPeers(from);
			if (isBehind()) {
				await sleep(roundPauseMilliseconds * (0.5 + random()));
			}
		}

		isCatchingUp = false;
	}

	membership.onVersion((topic, _version, from) => {
		if (topic === routesTopic && isBehind()) {
			void catchUp(from);
		}
	});
	return {
		close() {
			life.isClosed = true;
		},
	};
}

/**
 * Orders the nodes that may have a version: the one that told of it, then those of the own failure
 * domain, where bytes cost nothing and one node follows the table, then the others.
 */
function orderPeers(
	membership: Pick<Membership, 'all' | 'self'>,
	from: string,
): Member[] {
	const {nodeId: ownId, failureDomain} = membership.self();
	const distanceRank = (member: Member): number => {
		if (member.nodeId === from) {
			return 0;
		}

		return member.failureDomain === failureDomain ? 1 : 2;
	};

	return membership
		.all()
		.filter(({nodeId, status}) => nodeId !== ownId && status !== memberStatuses.dead)
		.toSorted((left, right) => distanceRank(left) - distanceRank(right));
}

/** Asks a node for its routes; undefined when it has none or does not answer in time. */
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
