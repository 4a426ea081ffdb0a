/** A follower's view of the fleet: how many nodes there are, and which to compare with. */
import {isPoller, memberStatuses, type Member} from '../membership/index.js';
import type {ConfigurationOptions} from './configuration.js';
import type {FleetView} from './follower-state.js';

const pollersPerDomain = 2;
const maximumPartners = 3;
const comparisonsPerPartner = 30;

/** The fleet changes slowly compared to the tick, and scanning a large one is expensive. */
const refreshMilliseconds = 500;

type FleetMembers = {
	readonly self: Pick<Member, 'nodeId' | 'failureDomain'>;
	readonly members: readonly Member[];
	readonly hasStore: boolean;
};

/** Returns a view of the fleet that is at most `refreshMilliseconds` old. */
export type FleetViewCache = () => FleetView;

/**
 * Creates a cached view of the fleet that is refreshed on read.
 *
 * @param options the members, the clock and the random source
 */
export function createFleetViewCache(
	options: Pick<ConfigurationOptions, 'self' | 'members' | 'table' | 'now' | 'random'>,
): FleetViewCache {
	const partners: Partners = {nodeIds: [], comparisons: 0};
	const hasStore = options.table !== undefined;
	const refresh = (): FleetView =>
		createFleetView(
			{self: options.self(), members: options.members(), hasStore},
			partners,
			options.random,
		);
	let current = refresh();
	let refreshedAt = options.now();
	return () => {
		if (options.now() - refreshedAt >= refreshMilliseconds) {
			current = refresh();
			refreshedAt = options.now();
		}

		return current;
	};
}

/** Nodes compared with in turn; only a few, so that few connections stay open. */
type Partners = {nodeIds: string[]; comparisons: number};

/**
 * Builds a view of the fleet.
 *
 * @param fleet the members known to membership
 * @param partners the nodes compared with recently, changed in place
 * @param random returns a number from 0 to below 1
 */
function createFleetView(
	fleet: FleetMembers,
	partners: Partners,
	random: () => number,
): FleetView {
	const peers = fleet.members.filter(
		member =>
			member.status === memberStatuses.alive && member.nodeId !== fleet.self.nodeId,
	);
	return {
		isPoller: isPoller(fleet.self, peers, pollersPerDomain),
		pickPeer: answered =>
			pickUnanswered(peers, answered, random) ?? pickPartner(peers, partners, random),
		peerCount: peers.length,
		failureDomainCount: new Set(peers.map(peer => peer.failureDomain)).size,
		hasStore: fleet.hasStore,
	};
}

/** Picks a node that has not answered, from a new failure domain if possible, until enough have. */
function pickUnanswered(
	peers: readonly Member[],
	answered: ReadonlyMap<string, string>,
	random: () => number,
): string | undefined {
	if (answered.size >= maximumPartners) {
		return undefined;
	}

	const domains = new Set(answered.values());
	const unanswered = peers.filter(peer => !answered.has(peer.nodeId));
	const inNewDomains = unanswered.filter(peer => !domains.has(peer.failureDomain));
	const candidates = inNewDomains.length > 0 ? inNewDomains : unanswered;
	return candidates[Math.floor(random() * candidates.length)]?.nodeId;
}

function pickPartner(
	peers: readonly Member[],
	partners: Partners,
	random: () => number,
): string | undefined {
	const known = new Set(peers.map(peer => peer.nodeId));
	partners.nodeIds = partners.nodeIds.filter(nodeId => known.has(nodeId));
	partners.comparisons += 1;
	const mustRotate = partners.comparisons % comparisonsPerPartner === 0;
	if (mustRotate || partners.nodeIds.length < maximumPartners) {
		const added = peers[Math.floor(random() * peers.length)]?.nodeId;
		const others = partners.nodeIds.filter(nodeId => nodeId !== added);
		partners.nodeIds = added === undefined ? others : [...others, added];
		partners.nodeIds = partners.nodeIds.slice(-maximumPartners);
	}

	return partners.nodeIds[Math.floor(random() * partners.nodeIds.length)];
}
