/**
 * Applies the decision to leave the failure domain (`src/placing/spill.ts`) to the calls of this
 * node. Holds what it rests on: the share of each route, the last reports from other failure
 * domains, and the bytes sent to other regions. All of it is this node's own view; a restarted
 * node begins without any.
 */
import type {Member} from '../membership/index.js';
import {
	createLeavingShare,
	createRegionLink,
	decideLeaving,
	distances,
	fitsRegionLink,
	mergeReport,
	negligibleShare,
	recordCallBytes,
	recordOwnRoom,
	type ByteCosts,
	type CallBytes,
	type Destination,
	type DomainView,
	type GateReport,
	type LeavingDecision,
	type LeavingShare,
	type PlacementRequest,
	type RegionLink,
	type ScoredCandidate,
} from '../placing/index.js';
import {distanceOf, type NodeLocation, type RoundTrips} from './distances.js';

export type LeavingOptions = {
	readonly location: NodeLocation;
	readonly costs: ByteCosts;
	readonly roundTrips: RoundTrips;
	/** This node's part of a link to another region; undefined if it is not known. */
	readonly linkMegabits: () => number | undefined;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** A number from 0 to below 1. */
	readonly random: () => number;
};

/** A call that may leave, with the gates outside of the failure domain that may have it. */
export type LeavingCall = {
	readonly route: string;
	readonly service: string;
	readonly bytes: CallBytes;
	readonly placement: PlacementRequest;
	/** The best gate found so far; undefined if there is none. */
	readonly own: ScoredCandidate | undefined;
	readonly members: readonly Member[];
};

export type Leaving = {
	/** Decides whether a call leaves, and moves the share of its route. */
	readonly decide: (call: LeavingCall) => LeavingDecision;
	/** Lowers the share of a route that the own failure domain serves at once. */
	readonly recordOwnRoom: (route: string) => void;
	/** Remembers the report of a gate in another failure domain. */
	readonly recordReport: (service: string, member: Member, report: GateReport) => void;
	/** Counts the bytes of a call that is sent to another region. */
	readonly recordSent: (region: string, bytes: CallBytes) => void;
	/** Shares by route; those of routes that do not leave are left out. */
	readonly shares: () => ReadonlyMap<string, number>;
};

/**
 * Creates the state of one node; nothing leaves yet.
 *
 * @param options the location, costs, distances and the clock
 * @returns the operations on it
 */
export function createLeaving(options: LeavingOptions): Leaving {
	const {location, now, roundTrips} = options;
	const sharesByRoute = new Map<string, LeavingShare>();
	/** By service and failure domain. */
	const views = new Map<string, Map<string, DomainView>>();
	const links = new Map<string, RegionLink>();

	function findShare(route: string): LeavingShare {
		const known = sharesByRoute.get(route) ?? createLeavingShare(now());
		sharesByRoute.set(route, known);
		return known;
	}

	function forgetUnused(route: string): void {
		const share = sharesByRoute.get(route);
		if (share && share.share < negligibleShare) {
			sharesByRoute.delete(route);
		}
	}

	function describeDestination(
		member: Member,
		call: LeavingCall,
		linkMegabits: number | undefined,
	): Destination {
		const distance = distanceOf(member, location);
		return {
			failureDomain: member.failureDomain,
			distance,
			roundTripMilliseconds: roundTrips.expect(member),
			view: views.get(call.service)?.get(member.failureDomain),
			hasLinkRoom:
				distance !== distances.remote ||
				fitsRegionLink(findLink(member.region), call.bytes, linkMegabits, now()),
		};
	}

	function findLink(region: string): RegionLink {
		const link = links.get(region) ?? createRegionLink();
		links.set(region, link);
		return link;
	}

	return {
		decide(call) {
			const byDomain = new Map(
				call.members.map(member => [member.failureDomain, member]),
			);
			const linkMegabits = options.linkMegabits();
			const destinations = [...byDomain.values()].map(member =>
				describeDestination(member, call, linkMegabits),
			);
			const {own, placement} = call;
			const decision = decideLeaving(
				findShare(call.route),
				{own, placement, destinations, costs: options.costs},
				now(),
				options.random(),
			);
			forgetUnused(call.route);
			return decision;
		},
		recordOwnRoom(route) {
			const share = sharesByRoute.get(route);
			if (share === undefined) {
				return;
			}

			recordOwnRoom(share, now());
			forgetUnused(route);
		},
		recordReport(service, member, report) {
			if (member.failureDomain === location.failureDomain) {
				return;
			}

			const ofService = views.get(service) ?? new Map<string, DomainView>();
			views.set(service, ofService);
			const {failureDomain} = member;
			const view = mergeReport(ofService.get(failureDomain), report, now());
			ofService.set(failureDomain, view);
		},
		recordSent(region, bytes) {
			if (region !== location.region) {
				recordCallBytes(findLink(region), bytes, now());
			}
		},
		shares: () => new Map([...sharesByRoute].map(([route, {share}]) => [route, share])),
	};
}
