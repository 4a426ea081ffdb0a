/**
 * Chooses gates for a call: queries the load of a few near gates, and of gates in other failure
 * domains and regions where leaving pays, and orders them by score. Remembers gates that do not
 * answer, so that calls do not wait for them.
 */
import {memberStatuses, type Member} from '../membership/index.js';
import {
	chargeForRoom,
	compareScored,
	distances,
	doubtOfReport,
	isGoodEnough,
	isWorthSending,
	orderForQueries,
	scoreGates,
	shouldQueryRemoteGates,
	type ByteCosts,
	type Candidate,
	type CallBytes,
	type Distance,
	type LeavingDecision,
	type LeavingReason,
	type PlacementRequest,
	type ScoredCandidate,
} from '../placing/index.js';
import {isBuffered} from '../call/index.js';
import {isHome} from '../teams/index.js';
import type {RelayCall} from './call.js';
import {
	distanceOf,
	isSameRegion,
	type NodeLocation,
	type RoundTrips,
} from './distances.js';
import type {LoadQuestion, RelayGate} from './gate-types.js';
import {createGateQueries} from './gate-queries.js';
import type {GateSocket} from './gate-socket.js';
import type {Leaving} from './leaving.js';
import {orderForSuspect} from './suspect-order.js';

export type PlacerOptions = {
	readonly location: NodeLocation;
	readonly gate: Pick<RelayGate, 'report'>;
	readonly socket: Pick<GateSocket, 'queryLoad'>;
	readonly membersOf: (service: string) => readonly Member[];
	/** Whether the servers of a failure domain get no new requests. */
	readonly isEvacuated: (failureDomain: string) => boolean;
	readonly costs: ByteCosts;
	readonly roundTrips: RoundTrips;
	/** Finds the key of a call that is suspected to crash servers; undefined for others. */
	readonly findSuspectKey: (call: RelayCall) => string | undefined;
	/** Decides which calls leave the failure domain; undefined if that is switched off. */
	readonly leaving: Leaving | undefined;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	/** Mean size of a route's responses, in bytes. */
	readonly responseBytes: (route: string) => number;
	/** Called with where a call is sent, and why it leaves or stays if that was a question. */
	readonly onPlaced: (distance: Distance, reason: LeavingReason | undefined) => void;
};

/** A gate that may accept the call. */
export type ScoredGate = ScoredCandidate & {
	readonly member: Member;
	readonly reportAgeMilliseconds: number;
	/** Whether the call was to leave the failure domain; undefined if a near gate takes it at once. */
	readonly leaving: Omit<LeavingDecision, 'failureDomains'> | undefined;
};

export type Placer = {
	/** Orders the gates for a call, best first, without the excluded ones. */
	readonly orderGates: (
		call: RelayCall,
		excluded: ReadonlySet<string>,
	) => Promise<readonly ScoredGate[]>;
};

/** The near gates that were queried, and those of them that accept the call, best first. */
type NearOrder = {
	readonly queried: readonly Member[];
	readonly scored: readonly ScoredGate[];
};

/** Gates queried besides the first, in this node's region and in others; two choices suffice. */
const sampleSize = 2;
/** Gates of other failure domains that a call queries at once when it leaves. */
const awaySampleSize = 3;
/** Headers of a request and its response. */
const headerBytes = 900;
/** Assumed size of a streamed body. */
const assumedStreamBytes = 1_048_576;

/**
 * Creates the placer.
 *
 * @param options the node's location, its gate, the members and the cost of bytes
 * @returns the placer, without any observations
 */
export function createPlacer(options: PlacerOptions): Placer {
	const {now, location, leaving} = options;
	const queries = createGateQueries({
		...options,
		onReport(member, report) {
			leaving?.recordReport(member.service ?? '', member, report);
		},
	});

	/** Scores the gates by the reports that they have just given. */
	function score(members: readonly Member[], call: RelayCall): ScoredGate[] {
		const candidates = members.map(member => queries.describeCandidate(member));
		return scoreCandidates(members, candidates, call);
	}

	function scoreCandidates(
		members: readonly Member[],
		candidates: readonly Candidate[],
		call: RelayCall,
	): ScoredGate[] {
		const byId = new Map(members.map(member => [member.nodeId, member]));
		const placement = describePlacement(call);
		return scoreGates(candidates, placement, options.costs).map(gate => ({
			...gate,
			member: byId.get(gate.nodeId)!,
			reportAgeMilliseconds: queries.reportAge(gate.nodeId),
			leaving: undefined,
		}));
	}

	async function orderSameRegion(
		members: readonly Member[],
		call: RelayCall,
		question: LoadQuestion,
	): Promise<NearOrder> {
		const [nearest, ...others] = members;
		if (nearest === undefined) {
			return {queried: [], scored: []};
		}

		await queries.query(nearest, question);
		const first = score([nearest], call);
		if (first[0] && isGoodEnough(first[0])) {
			return {queried: [nearest], scored: first};
		}

		const sample = others.slice(0, sampleSize);
		await Promise.all(sample.map(async member => queries.query(member, question)));
		const queried = [nearest, ...sample];
		return {queried, scored: score(queried, call)};
	}

	function describePlacement(call: RelayCall): PlacementRequest {
		const {sent, received} = countBytes(call);
		return {
			targetMilliseconds: call.targetAt - now(),
			deadlineMilliseconds: call.deadlineAt - now(),
			bytes: sent + received,
		};
	}

	function countBytes(call: RelayCall): CallBytes {
		return {
			sent: headerBytes + countBodyBytes(call),
			received: options.responseBytes(call.route),
		};
	}

	/** Queries gates at once; ends early when one near by takes the call at once. */
	async function queryAway(
		members: readonly Member[],
		call: RelayCall,
		question: LoadQuestion,
	): Promise<void> {
		let stopWaiting!: () => void;
		const found = new Promise<void>(resolve => {
			stopWaiting = resolve;
		});
		const answers = members.map(async member => {
			await queries.query(member, question);
			const [scored] = score([member], call);
			if (isSameRegion(member, location) && scored && isGoodEnough(scored)) {
				stopWaiting();
			}
		});
		await Promise.race([found, Promise.all(answers)]);
	}

	/** Adds gates of the failure domains to which the call may leave. */
	async function orderWithOthers(
		near: NearOrder,
		others: readonly Member[],
		{call, question}: {readonly call: RelayCall; readonly question: LoadQuestion},
		decide: Leaving['decide'],
	): Promise<readonly ScoredGate[]> {
		const placement = describePlacement(call);
		const decision = decide({
			route: call.route,
			service: call.service,
			bytes: countBytes(call),
			placement,
			own: near.scored[0],
			members: others,
		});
		const {failureDomains, ...summary} = decision;
		const note = (gate: ScoredGate): ScoredGate => ({...gate, leaving: summary});
		if (failureDomains.length === 0) {
			return near.scored.map(gate => note(gate));
		}

		const sample = sampleByDomain(others, failureDomains);
		await queryAway(sample, call, question);
		const charged = score([...near.queried, ...sample], call)
			.map(gate => (isNear(gate) ? note(gate) : chargeForRoom(note(gate), placement)))
			.toSorted(compareScored);
		return pickAmongEqual(charged, placement, options.random);
	}

	/** Orders gates as every node does, whatever their last reports. */
	function orderAlike(
		members: readonly Member[],
		call: RelayCall,
		key: string,
	): ScoredGate[] {
		const ordered = orderForSuspect(members, key);
		const candidates = ordered.map(member => ({
			...queries.describeCandidate(member),
			report: undefined,
		}));
		const positions = new Map(ordered.map(({nodeId}, index) => [nodeId, index]));
		return scoreCandidates(ordered, candidates, call).toSorted(
			(left, right) => positions.get(left.nodeId)! - positions.get(right.nodeId)!,
		);
	}

	async function order(
		call: RelayCall,
		excluded: ReadonlySet<string>,
	): Promise<readonly ScoredGate[]> {
		const members = options
			.membersOf(call.service)
			.filter(
				({status, region, failureDomain}) =>
					status === memberStatuses.alive &&
					isHome(call.homes, region) &&
					!options.isEvacuated(failureDomain),
			);
		const suspectKey = options.findSuspectKey(call);
		if (suspectKey !== undefined) {
			return orderAlike(
				members.filter(({nodeId}) => !excluded.has(nodeId)),
				call,
				suspectKey,
			);
		}

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
		const near = await orderSameRegion(sameRegion, call, question);
		const isWanted = (gate: ScoredGate): boolean => isWorthSending(gate, hasSameRegion);
		if (leaving && hasSameRegion) {
			if (near.scored[0] && isGoodEnough(near.scored[0])) {
				leaving.recordOwnRoom(call.route);
				return near.scored;
			}

			const asked = new Set(near.queried);
			const others = candidates.filter(
				member => member.failureDomain !== location.failureDomain && !asked.has(member),
			);
			const ordered = await orderWithOthers(
				near,
				others,
				{call, question},
				leaving.decide,
			);
			return ordered.filter(gate => isWanted(gate));
		}

		const otherRegions = candidates
			.filter(member => !isSameRegion(member, location))
			.slice(0, sampleSize);
		if (
			otherRegions.length === 0 ||
			!shouldQueryRemoteGates(near.scored[0], describePlacement(call), options.costs)
		) {
			return near.scored;
		}

		await Promise.all(otherRegions.map(async member => queries.query(member, question)));
		const ordered = score([...near.queried, ...otherRegions], call);
		return ordered.filter(gate => isWanted(gate));
	}

	return {
		async orderGates(call, excluded) {
			const gates = await order(call, excluded);
			const [best] = gates;
			if (best) {
				leaving?.recordSent(best.member.region, countBytes(call));
				options.onPlaced(best.distance, best.leaving?.reason);
			}

			return gates;
		},
	};
}

function countBodyBytes({body}: RelayCall): number {
	return isBuffered(body) ? body.length : assumedStreamBytes;
}

function isNear({distance}: ScoredCandidate): boolean {
	return distance === distances.own || distance === distances.failureDomain;
}

/** Takes gates of several failure domains, the most promising first, so that one answer misleads less. */
function sampleByDomain(
	members: readonly Member[],
	failureDomains: readonly string[],
): Member[] {
	const sample: Member[] = [];
	const ofDomain = failureDomains.map(name =>
		members.filter(({failureDomain}) => failureDomain === name),
	);
	for (let round = 0; round < sampleSize; round += 1) {
		for (const gates of ofDomain) {
			const gate = gates[round];
			if (gate && sample.length < awaySampleSize) {
				sample.push(gate);
			}
		}
	}

	return sample;
}

/**
 * Puts a random one first of the gates that are as good as the best, if that is far away: many
 * nodes that see the same free gate would meet there.
 */
function pickAmongEqual(
	gates: readonly ScoredGate[],
	{targetMilliseconds}: PlacementRequest,
	random: () => number,
): readonly ScoredGate[] {
	const [best] = gates;
	if (best === undefined || isNear(best) || best.report === undefined) {
		return gates;
	}

	const doubt = doubtOfReport(best.roundTripMilliseconds, targetMilliseconds);
	const equal = gates.filter(
		({distance, score}) => distance === best.distance && score >= best.score - doubt,
	);
	const chosen = equal[Math.floor(random() * equal.length)] ?? best;
	return [chosen, ...gates.filter(gate => gate !== chosen)];
}
