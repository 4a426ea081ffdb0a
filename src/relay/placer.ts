/**
 * Chooses gates for a call: queries the load of a few gates in this node's region, and of gates in
 * other regions where that may pay off, and orders them by score. Remembers gates that do not
 * answer, so that calls do not wait for them.
 */
import {memberStatuses, type Member} from '../membership/index.js';
import {
	distances,
	shouldQueryRemoteGates,
	isGoodEnough,
	isWorthSending,
	orderForQueries,
	scoreGates,
	type ByteCosts,
	type Candidate,
	type Distance,
	type ScoredCandidate,
} from '../placing/index.js';
import {isBuffered} from '../call/index.js';
import {isHome} from '../teams/index.js';
import type {RelayCall} from './call.js';
import type {LoadQuestion, RelayGate} from './gate-types.js';
import type {TimedGateReport, GateSocket} from './gate-socket.js';

export type NodeLocation = {
	readonly nodeId: string;
	readonly region: string;
	readonly failureDomain: string;
};

export type PlacerOptions = {
	readonly location: NodeLocation;
	readonly gate: Pick<RelayGate, 'report'>;
	readonly socket: Pick<GateSocket, 'queryLoad'>;
	readonly membersOf: (service: string) => readonly Member[];
	/** Whether the servers of a failure domain get no new requests. */
	readonly isEvacuated: (failureDomain: string) => boolean;
	readonly costs: ByteCosts;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	/** Mean size of a route's responses, in bytes. */
	readonly responseBytes: (route: string) => number;
};

/** A gate that may accept the call. */
export type ScoredGate = ScoredCandidate & {
	readonly member: Member;
	readonly reportAgeMilliseconds: number;
};

export type Placer = {
	/** Orders the gates for a call, best first, without the excluded ones. */
	readonly orderGates: (
		call: RelayCall,
		excluded: ReadonlySet<string>,
	) => Promise<readonly ScoredGate[]>;
};

type GateObservation = {
	report: TimedGateReport | undefined;
	/** Monotonic time in milliseconds. */
	heardAt: number;
	/** Monotonic time in milliseconds. */
	silentUntil: number;
	roundTripMilliseconds: number;
};

/** A healthy gate of the same region answers within a millisecond or two. */
const sameRegionTimeoutMilliseconds = 15;
/** Regions are about ten milliseconds apart. */
const otherRegionTimeoutMilliseconds = 40;
/** Gates queried besides the first, in this node's region and in others; two choices suffice. */
const sampleSize = 2;
/** Time during which calls do not wait for a gate that did not answer. */
const silentGateBackoffMilliseconds = 1000;
/** Headers of a request and its response. */
const headerBytes = 900;
/** Assumed size of a streamed body. */
const assumedStreamBytes = 1_048_576;
/** Round trips assumed before the first was measured. */
const initialRoundTripMilliseconds: Readonly<Record<Distance, number>> = {
	[distances.own]: 0,
	[distances.failureDomain]: 0.5,
	[distances.region]: 2,
	[distances.remote]: 20,
};
const roundTripWeight = 0.2;

/**
 * Creates the placer.
 *
 * @param options the node's location, its gate, the members and the cost of bytes
 * @returns the placer, without any observations
 */
export function createPlacer(options: PlacerOptions): Placer {
	const {now, location} = options;
	const observations = new Map<string, GateObservation>();

	function findObservation(member: Member): GateObservation {
		const known = observations.get(member.nodeId);
		if (known) {
			return known;
		}

		const created: GateObservation = {
			report: undefined,
			heardAt: Number.NEGATIVE_INFINITY,
			silentUntil: Number.NEGATIVE_INFINITY,
			roundTripMilliseconds: initialRoundTripMilliseconds[distanceOf(member, location)],
		};
		observations.set(member.nodeId, created);
		return created;
	}

	async function queryGate(
		member: Member,
		question: LoadQuestion,
		timeout: number,
	): Promise<void> {
		const observation = findObservation(member);
		const query = options.socket.queryLoad(
			{host: member.host, port: member.peerPort},
			question,
			timeout,
		);
		const settled = query.then(report => {
			recordReport(observation, report);
		});
		if (now() < observation.silentUntil) {
			return;
		}

		await settled;
	}

	function recordReport(
		observation: GateObservation,
		report: TimedGateReport | undefined,
	): void {
		if (report === undefined) {
			observation.report = undefined;
			observation.silentUntil = now() + silentGateBackoffMilliseconds;
			return;
		}

		observation.report = report;
		observation.heardAt = now();
		observation.silentUntil = Number.NEGATIVE_INFINITY;
		observation.roundTripMilliseconds +=
			(report.roundTripMilliseconds - observation.roundTripMilliseconds) *
			roundTripWeight;
	}

	async function queryLocal(member: Member, question: LoadQuestion): Promise<void> {
		const report = await options.gate.report({...question, bodyBytes: 0});
		recordReport(findObservation(member), {...report, roundTripMilliseconds: 0});
	}

	function describeCandidate(member: Member): Candidate {
		const {report, roundTripMilliseconds} = findObservation(member);
		const distance = distanceOf(member, location);
		return {nodeId: member.nodeId, distance, report, roundTripMilliseconds};
	}

	async function querySameRegion(member: Member, question: LoadQuestion): Promise<void> {
		await (member.nodeId === location.nodeId
			? queryLocal(member, question)
			: queryGate(member, question, sameRegionTimeoutMilliseconds));
	}

	/** Scores the gates by the reports that they have just given. */
	function score(members: readonly Member[], call: RelayCall): ScoredGate[] {
		const byId = new Map(members.map(member => [member.nodeId, member]));
		const candidates = members.map(member => describeCandidate(member));
		const placement = createPlacement(call, options, now());
		return scoreGates(candidates, placement, options.costs).map(gate => ({
			...gate,
			member: byId.get(gate.nodeId)!,
			reportAgeMilliseconds: now() - (observations.get(gate.nodeId)?.heardAt ?? now()),
		}));
	}

	async function orderSameRegion(
		members: readonly Member[],
		call: RelayCall,
		question: LoadQuestion,
	): Promise<{queried: readonly Member[]; scored: ScoredGate[]}> {
		const [nearest, ...others] = members;
		if (nearest === undefined) {
			return {queried: [], scored: []};
		}

		await querySameRegion(nearest, question);
		const first = score([nearest], call);
		if (first[0] && isGoodEnough(first[0])) {
			return {queried: [nearest], scored: first};
		}

		const sample = others.slice(0, sampleSize);
		await Promise.all(sample.map(async member => querySameRegion(member, question)));
		const queried = [nearest, ...sample];
		return {queried, scored: score(queried, call)};
	}

	return {
		async orderGates(call, excluded) {
			const members = options
				.membersOf(call.service)
				.filter(
					({status, region, failureDomain}) =>
						status === memberStatuses.alive &&
						isHome(call.homes, region) &&
						!options.isEvacuated(failureDomain),
				);
			const hasSameRegion = members.some(member => isSameRegion(member, location));
			const candidates = orderForQueries(
				members
					.filter(({nodeId}) => !excluded.has(nodeId))
					.map(member => ({member, distance: distanceOf(member, location)})),
				options.random,
			).map(({member}) => member);
			const question: LoadQuestion = {
				route: call.route,
				rank: call.rank,
				nested: call.nested,
				targetMilliseconds: call.targetMilliseconds,
				bodyBytes: countBodyBytes(call),
			};
			const sameRegion = candidates.filter(member => isSameRegion(member, location));
			const {queried, scored} = await orderSameRegion(sameRegion, call, question);
			const placement = createPlacement(call, options, now());
			const otherRegions = candidates
				.filter(member => !isSameRegion(member, location))
				.slice(0, sampleSize);
			if (
				otherRegions.length === 0 ||
				!shouldQueryRemoteGates(scored[0], placement, options.costs)
			) {
				return scored;
			}

			await Promise.all(
				otherRegions.map(async member =>
					queryGate(member, question, otherRegionTimeoutMilliseconds),
				),
			);
			return score([...queried, ...otherRegions], call).filter(gate =>
				isWorthSending(gate, hasSameRegion),
			);
		},
	};
}

function createPlacement(call: RelayCall, options: PlacerOptions, now: number) {
	return {
		targetMilliseconds: call.targetAt - now,
		deadlineMilliseconds: call.deadlineAt - now,
		bytes: headerBytes + countBodyBytes(call) + options.responseBytes(call.route),
	};
}

function countBodyBytes({body}: RelayCall): number {
	return isBuffered(body) ? body.length : assumedStreamBytes;
}

function isSameRegion(member: Member, location: NodeLocation): boolean {
	return member.region === location.region;
}

function distanceOf(member: Member, location: NodeLocation): Distance {
	if (member.nodeId === location.nodeId) {
		return distances.own;
	}

	if (member.failureDomain === location.failureDomain) {
		return distances.failureDomain;
	}

	return member.region === location.region ? distances.region : distances.remote;
}
