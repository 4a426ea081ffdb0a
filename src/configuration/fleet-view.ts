/** The fleet as a follower needs it: how many nodes there are, and whom to compare with. */
import {isPoller, memberStatuses, type Member} from '../membership/index.js';
import type {ConfigurationOptions} from './configuration.js';
import type {FleetView} from './follower-state.js';

const pollersPerDomain = 2;
const maximumPartners = 3;
const comparisonsPerPartner = 30;

/** The fleet changes slowly against the ticks, and a large one costs time to look through. */
const refreshMilliseconds = 500;

type FleetMembers = {
	readonly self: Pick<Member, 'nodeId' | 'failureDomain'>;
	readonly members: readonly Member[];
	readonly hasStore: boolean;
};

/** Gives the fleet as it was a moment ago. */
export type FleetViewCache = () => FleetView;

/**
 * Creates a view of the fleet that is renewed now and then.
 *
 * @param options how members are learned, the clock and the random source
 */
export function createFleetViewCache(
	options: Pick<ConfigurationOptions, 'self' | 'members' | 'table' | 'now' | 'random'>,
): FleetViewCache {
	const partners: Partners = {nodeIds: [], comparisons: 0};
	const hasStore = options.table !== undefined;
	const renew = (): FleetView =>
		createFleetView(
			{self: options.self(), members: options.members(), hasStore},
			partners,
			options.random,
		);
	let current = renew();
	let renewedAt = options.now();
	return () => {
		if (options.now() - renewedAt >= refreshMilliseconds) {
			current = renew();
			renewedAt = options.now();
		}

		return current;
	};
}

/** Nodes that this one compares with in turn, so that few connections are held. */
type Partners = {nodeIds: string[]; comparisons: number};

/**
 * Describes the fleet.
 *
 * @param view the members as membership knows them
 * @param partners the nodes compared with lately, changed in place
 * @param random gives numbers from 0 to below 1
 */
function createFleetView(
	view: FleetMembers,
	partners: Partners,
	random: () => number,
): FleetView {
	const peers = view.members.filter(
		member =>
			member.status === memberStatuses.alive && member.nodeId !== view.self.nodeId,
	);
	return {
		isPoller: isPoller(view.self, peers, pollersPerDomain),
		pickPeer: answered =>
			pickUnanswered(peers, answered, random) ?? pickPartner(peers, partners, random),
		peers: peers.length,
		failureDomains: new Set(peers.map(peer => peer.failureDomain)).size,
		hasStore: view.hasStore,
	};
}

/** While few have answered, asks someone new, from another failure domain if possible. */
function pickUnanswered(
	peers: readonly Member[],
	answered: ReadonlyMap<string, string>,
	random: () => number,
): string | undefined {
	if (answered.size >= maximumPartners) {
		return undefined;
	}

	const domains = new Set(answered.values());
	const unheard = peers.filter(peer => !answered.has(peer.nodeId));
	const elsewhere = unheard.filter(peer => !domains.has(peer.failureDomain));
	const choice = elsewhere.length > 0 ? elsewhere : unheard;
	return choice[Math.floor(random() * choice.length)]?.nodeId;
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
