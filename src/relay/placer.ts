/**
 * Finds the gates for a call: asks some near ones what the call would meet there, and far ones
 * when that may be worth it, and lets the placing decision order them. It remembers which gates
 * stay silent, so that a call does not wait for them.
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
import type {RelayCall} from './call.js';
import type {LoadQuestion, RelayGate} from './gate-types.js';
import type {TimedGateReport, GateSocket} from './gate-socket.js';

/** Where the node stands. */
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
	readonly costs: ByteCosts;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	/** Usual bytes of a route's answers. */
	readonly responseBytes: (route: string) => number;
};

/** A gate that may take the call. */
export type RatedGate = ScoredCandidate & {
	readonly member: Member;
	/** How old the gate's word is, in milliseconds. */
	readonly reportAgeMilliseconds: number;
};

export type Placer = {
	/** Orders the gates for a call, best first; gates that are excluded are left out. */
	readonly rank: (
		call: RelayCall,
		excluded: ReadonlySet<string>,
	) => Promise<readonly RatedGate[]>;
};

type GateObservation = {
	report: TimedGateReport | undefined;
	/** Monotonic milliseconds, as is the next. */
	heardAt: number;
	silentUntil: number;
	roundTripMilliseconds: number;
};

/** A gate of the same region answers within a millisecond or two when it is well. */
const nearTimeoutMilliseconds = 15;
/** Two regions are some ten milliseconds apart. */
const farTimeoutMilliseconds = 40;
/** Near gates that are asked besides the first, as many as far ones; two choices suffice. */
const sampleSize = 2;
/** How long a silent gate is not waited for, in milliseconds. */
const silentGateBackoffMilliseconds = 1000;
/** Heads of a request and its answer, in bytes. */
const headBytes = 900;
/** A streamed body is taken to be at least this large, in bytes. */
const assumedStreamBytes = 1_048_576;
/** Round trips before one was measured, in milliseconds. */
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
 * @param options the node's place, its gate, the members and the price of bytes
 * @returns the placer, which has heard of no gate
 */
export function createPlacer(options: PlacerOptions): Placer {
	const {now, location: place} = options;
	const observations = new Map<string, GateObservation>();

	function findObservation(member: Member): GateObservation {
		const known = observations.get(member.nodeId);
		if (known) {
			return known;
		}

		const fresh: GateObservation = {
			report: undefined,
			heardAt: Number.NEGATIVE_INFINITY,
			silentUntil: Number.NEGATIVE_INFINITY,
			roundTripMilliseconds: initialRoundTripMilliseconds[distanceOf(member, place)],
		};
		observations.set(member.nodeId, fresh);
		return fresh;
	}

	async function ask(
		member: Member,
		question: LoadQuestion,
		timeout: number,
	): Promise<void> {
		const state = findObservation(member);
		const asking = options.socket.queryLoad(
			{host: member.host, port: member.peerPort},
			question,
			timeout,
		);
		const settled = asking.then(report => {
			recordReport(state, report);
		});
		if (now() < state.silentUntil) {
			return;
		}

		await settled;
	}

	function recordReport(
		state: GateObservation,
		report: TimedGateReport | undefined,
	): void {
		if (report === undefined) {
			state.report = undefined;
			state.silentUntil = now() + silentGateBackoffMilliseconds;
			return;
		}

		state.report = report;
		state.heardAt = now();
		state.silentUntil = Number.NEGATIVE_INFINITY;
		state.roundTripMilliseconds +=
			(report.roundTripMilliseconds - state.roundTripMilliseconds) * roundTripWeight;
	}

	async function askOwn(member: Member, question: LoadQuestion): Promise<void> {
		const report = await options.gate.report({...question, bodyBytes: 0});
		recordReport(findObservation(member), {...report, roundTripMilliseconds: 0});
	}

	function describeCandidate(member: Member): Candidate {
		const {report, roundTripMilliseconds} = findObservation(member);
		const distance = distanceOf(member, place);
		return {nodeId: member.nodeId, distance, report, roundTripMilliseconds};
	}

	async function askNear(member: Member, question: LoadQuestion): Promise<void> {
		await (member.nodeId === place.nodeId
			? askOwn(member, question)
			: ask(member, question, nearTimeoutMilliseconds));
	}

	/** Rates the gates that were asked just now by what they said. */
	function rate(members: readonly Member[], call: RelayCall): RatedGate[] {
		const byId = new Map(members.map(member => [member.nodeId, member]));
		const candidates = members.map(member => describeCandidate(member));
		const placement = createPlacement(call, options, now());
		return scoreGates(candidates, placement, options.costs).map(rated => ({
			...rated,
			member: byId.get(rated.nodeId)!,
			reportAgeMilliseconds: now() - (observations.get(rated.nodeId)?.heardAt ?? now()),
		}));
	}

	async function rankNear(
		near: readonly Member[],
		call: RelayCall,
		question: LoadQuestion,
	): Promise<{asked: readonly Member[]; rated: RatedGate[]}> {
		const [nearest, ...others] = near;
		if (nearest === undefined) {
			return {asked: [], rated: []};
		}

		await askNear(nearest, question);
		const first = rate([nearest], call);
		if (first[0] && isGoodEnough(first[0])) {
			return {asked: [nearest], rated: first};
		}

		const sample = others.slice(0, sampleSize);
		await Promise.all(sample.map(async member => askNear(member, question)));
		const asked = [nearest, ...sample];
		return {asked, rated: rate(asked, call)};
	}

	return {
		async rank(call, excluded) {
			const members = options
				.membersOf(call.service)
				.filter(({status}) => status === memberStatuses.alive);
			const hasNear = members.some(member => isNear(member, place));
			const candidates = orderForQueries(
				members
					.filter(({nodeId}) => !excluded.has(nodeId))
					.map(member => ({member, distance: distanceOf(member, place)})),
				options.random,
			).map(({member}) => member);
			const question: LoadQuestion = {
				route: call.route,
				rank: call.rank,
				nested: call.nested,
				targetMilliseconds: call.targetMilliseconds,
				bodyBytes: countBodyBytes(call),
			};
			const near = candidates.filter(member => isNear(member, place));
			const {asked, rated} = await rankNear(near, call, question);
			const placement = createPlacement(call, options, now());
			const far = candidates
				.filter(member => !isNear(member, place))
				.slice(0, sampleSize);
			if (
				far.length === 0 ||
				!shouldQueryRemoteGates(rated[0], placement, options.costs)
			) {
				return rated;
			}

			await Promise.all(
				far.map(async member => ask(member, question, farTimeoutMilliseconds)),
			);
			return rate([...asked, ...far], call).filter(gate => isWorthSending(gate, hasNear));
		},
	};
}

function createPlacement(call: RelayCall, options: PlacerOptions, now: number) {
	return {
		targetMilliseconds: call.targetAt - now,
		deadlineMilliseconds: call.deadlineAt - now,
		bytes: headBytes + countBodyBytes(call) + options.responseBytes(call.route),
	};
}

function countBodyBytes({body}: RelayCall): number {
	return isBuffered(body) ? body.length : assumedStreamBytes;
}

function isNear(member: Member, place: NodeLocation): boolean {
	return member.region === place.region;
}

function distanceOf(member: Member, place: NodeLocation): Distance {
	if (member.nodeId === place.nodeId) {
		return distances.own;
	}

	if (member.failureDomain === place.failureDomain) {
		return distances.failureDomain;
	}

	return member.region === place.region ? distances.region : distances.remote;
}
