/**
 * Choice of peers by distance. Bytes between failure domains, and far more so between regions, are
 * scarce and slow, so most packets stay in the failure domain of their sender. A rumour still leaves
 * it several times, since each of its nodes sends the rumour on.
 */
import {type Member} from './member.js';
import {type Roster} from './roster.js';

/** The peers of a node by distance; each peer is in one list. */
export type NearPeers = {
	/** Ids of peers in the node's failure domain. */
	readonly failureDomain: readonly string[];
	/** Ids of peers in the node's region, but not in its failure domain. */
	readonly region: readonly string[];
	readonly remote: readonly string[];
};

/** Shares of packets that leave the failure domain and the region; their sum is at most one. */
export type DistanceShares = {
	readonly region: number;
	readonly remote: number;
};

/**
 * Groups the peers by their distance from a node.
 *
 * @param roster the roster; the result is kept in it until its peers change
 * @param self the node
 * @returns the peers by distance
 */
export function listNearPeers(roster: Roster, self: Member): NearPeers {
	if (roster.nearPeers !== undefined) {
		return roster.nearPeers;
	}

	const failureDomain: string[] = [];
	const region: string[] = [];
	const remote: string[] = [];
	for (const nodeId of roster.peers) {
		const {member} = roster.records.get(nodeId)!;
		if (member.region !== self.region) {
			remote.push(nodeId);
		} else if (member.failureDomain === self.failureDomain) {
			failureDomain.push(nodeId);
		} else {
			region.push(nodeId);
		}
	}

	roster.nearPeers = {failureDomain, region, remote};
	return roster.nearPeers;
}

/**
 * Computes the shares of gossip that leave the failure domain and the region. All nodes of a failure
 * domain, or of a region, together send each rumour out as often as one node sends it on.
 *
 * @param peers the peers of the node
 * @returns the shares
 */
export function computeGossipShares(peers: NearPeers): DistanceShares {
	const domainNodes = peers.failureDomain.length + 1;
	const regionNodes = domainNodes + peers.region.length;
	const remote = peers.remote.length > 0 ? 1 / regionNodes : 0;
	const region = peers.region.length > 0 ? (1 - remote) / domainNodes : 0;
	return {region, remote};
}

/**
 * Picks peers at random by distance.
 *
 * @param peers the peers by distance
 * @param shares shares of the picks outside the failure domain and the region
 * @param count maximum number of peers
 * @param random source of random numbers in [0, 1)
 * @returns ids of at most `count` distinct peers
 */
export function pickNearPeers(
	peers: NearPeers,
	shares: DistanceShares,
	count: number,
	random: () => number,
): string[] {
	const chosen = new Set<string>();
	const attempts = count * 3;
	for (let attempt = 0; attempt < attempts && chosen.size < count; attempt += 1) {
		const candidates = chooseDistance(peers, shares, random());
		const nodeId = candidates[Math.floor(random() * candidates.length)];
		if (nodeId !== undefined) {
			chosen.add(nodeId);
		}
	}

	return [...chosen];
}

function chooseDistance(
	peers: NearPeers,
	shares: DistanceShares,
	position: number,
): readonly string[] {
	if (position < shares.remote && peers.remote.length > 0) {
		return peers.remote;
	}

	if (position < shares.remote + shares.region && peers.region.length > 0) {
		return peers.region;
	}

	const byDistance = [peers.failureDomain, peers.region, peers.remote];
	return byDistance.find(({length}) => length > 0) ?? peers.remote;
}
