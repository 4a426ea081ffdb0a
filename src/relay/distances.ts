/**
 * Where members are, seen from this node, and how long their answers take. Holds the round trips to
 * the failure domains; they are learned from the answers to load queries.
 */
import type {Member} from '../membership/index.js';
import {
	chooseAnswerTimeout,
	createRoundTripEstimate,
	distances,
	recordRoundTrip,
	type Distance,
	type RoundTripEstimate,
	type TimeoutBounds,
} from '../placing/index.js';

export type NodeLocation = {
	readonly nodeId: string;
	readonly region: string;
	readonly failureDomain: string;
};

type Place = Pick<Member, 'nodeId' | 'region' | 'failureDomain'>;

export type RoundTrips = {
	/** Records how long the answer of a member took. */
	readonly record: (member: Place, milliseconds: number) => void;
	/** The measured round trip, or the assumed one before the first answer, in milliseconds. */
	readonly expect: (member: Place) => number;
	/** How long to wait for the answer of a member, in milliseconds. */
	readonly timeoutOf: (member: Place) => number;
	/** Measured round trips by failure domain, in milliseconds. */
	readonly list: () => ReadonlyMap<string, number>;
};

/** A healthy gate of the same region answers within a millisecond or two. */
const sameRegionBounds: TimeoutBounds = {minimum: 15, maximum: 30, first: 15};
/** The first bound is long enough for regions on one continent; late answers teach longer ones. */
const otherRegionBounds: TimeoutBounds = {minimum: 40, maximum: 400, first: 100};
/** Round trips assumed before the first was measured. */
const initialRoundTripMilliseconds: Readonly<Record<Distance, number>> = {
	[distances.own]: 0,
	[distances.failureDomain]: 0.5,
	[distances.region]: 2,
	[distances.remote]: 20,
};

/**
 * Creates the round trips of a node, none of them measured.
 *
 * @param location where the node is
 * @returns the round trips
 */
export function createRoundTrips(location: NodeLocation): RoundTrips {
	const estimates = new Map<string, RoundTripEstimate>();
	return {
		record({failureDomain}, milliseconds) {
			const estimate = estimates.get(failureDomain) ?? createRoundTripEstimate();
			estimates.set(failureDomain, estimate);
			recordRoundTrip(estimate, milliseconds);
		},
		expect: member =>
			estimates.get(member.failureDomain)?.smoothed ??
			initialRoundTripMilliseconds[distanceOf(member, location)],
		timeoutOf: member =>
			chooseAnswerTimeout(
				estimates.get(member.failureDomain) ?? createRoundTripEstimate(),
				isSameRegion(member, location) ? sameRegionBounds : otherRegionBounds,
			),
		list: () =>
			new Map(
				[...estimates].map(([failureDomain, {smoothed}]) => [failureDomain, smoothed!]),
			),
	};
}

/**
 * @param member a member
 * @param location where this node is
 * @returns whether they are in the same region
 */
export function isSameRegion(member: Place, location: NodeLocation): boolean {
	return member.region === location.region;
}

/**
 * @param member a member
 * @param location where this node is
 * @returns the distance between them
 */
export function distanceOf(member: Place, location: NodeLocation): Distance {
	if (member.nodeId === location.nodeId) {
		return distances.own;
	}

	if (member.failureDomain === location.failureDomain) {
		return distances.failureDomain;
	}

	return member.region === location.region ? distances.region : distances.remote;
}
