/**
 * Decides when a request leaves its failure domain, and which share of such requests does. What the
 * caller gains (a response in time, or at all, and the time saved) is weighed against the bytes,
 * the round trips and the room taken from the other domain's own callers. The share follows the
 * gain: it rises and falls with it, a limited part of the way for each view, so that nodes with
 * delayed views of each other do not send the same excess to and fro.
 *
 * Load pattern: a failure domain with more callers than its servers can take, beside others with
 * room, or with as little room.
 */
import {
	costOfDistance,
	valueOfResponse,
	type ByteCosts,
	type Distance,
	type GateReport,
	type PlacementRequest,
	type ScoredCandidate,
} from './scoring.js';

/** A request that may leave its failure domain, and where it may go. */
export type LeavingQuestion = {
	/** The best gate found so far; undefined if there is none. */
	readonly own: ScoredCandidate | undefined;
	/** The other failure domains with gates of the service. */
	readonly destinations: readonly Destination[];
	readonly placement: PlacementRequest;
	readonly costs: ByteCosts;
};

/** What is known of a service's gates in another failure domain. */
export type Destination = {
	readonly failureDomain: string;
	readonly distance: Distance;
	readonly roundTripMilliseconds: number;
	/** The last report from there; undefined if none has come. */
	readonly view: DomainView | undefined;
	/** Whether the link to it has room for the request. */
	readonly hasLinkRoom: boolean;
};

/** The load of a service's gates in one failure domain, by their last reports. */
export type DomainView = {
	waitMilliseconds: number;
	durationMilliseconds: number;
	failureShare: number;
	/** Monotonic time in milliseconds. */
	heardAt: number;
};

/** Share of the requests of one route that leave although the own failure domain would serve them. */
export type LeavingShare = {
	share: number;
	/** Monotonic time in milliseconds. */
	updatedAt: number;
};

export const leavingReasons = {
	/** No other failure domain promises enough. */
	noGain: 'no-gain',
	/** Leaving pays, but the request belongs to the share that stays. */
	withheld: 'withheld',
	/** Leaving would pay if the link to the other region had room. */
	linkFull: 'link-full',
	/** Leaving pays. */
	gain: 'gain',
	/** The own failure domain would serve it too late or not at all. */
	noRoom: 'no-room',
} as const;

export type LeavingReason = (typeof leavingReasons)[keyof typeof leavingReasons];

export type LeavingDecision = {
	readonly reason: LeavingReason;
	readonly gain: number;
	readonly share: number;
	/** Failure domains to query, most promising first; empty if the request stays. */
	readonly failureDomains: readonly string[];
};

/** A lower gain is within the error of the estimates. */
const minimumGain = 0.05;
/** Gain above the minimum from which on every request leaves, if views have no delay. */
const fullGain = 0.15;
/** Delay of the views that doubles the gain from which on every request leaves. */
const cautionMilliseconds = 100;
/** Value of a response that comes a whole latency target earlier. */
const timeValue = 0.1;
/** Value that a request takes from the other domain's callers where they wait long. */
const roomValue = 0.5;
/** One view moves the share by at most this part of the difference. */
const maximumStep = 0.5;
/** Time in which the share follows a change, besides the delay of the views. */
const followMilliseconds = 200;
/** An unused share below this is forgotten. */
export const negligibleShare = 0.01;
/** Time in which a remembered wait decays by a factor of e; then the domain is asked again. */
const viewDecayMilliseconds = 1000;
/** Share of the latency target assumed as duration where no report has come. */
const defaultDurationShare = 0.3;
/** Weight of one more report in the view of a domain. */
const viewWeight = 0.5;
/** Largest difference of scores that counts as none between two distant gates. */
const maximumDoubt = 0.1;

/** @returns the share of a route that has not left */
export function createLeavingShare(now: number): LeavingShare {
	return {share: 0, updatedAt: now - followMilliseconds};
}

/**
 * Adds a report to the view of a failure domain.
 *
 * @param view the view so far; undefined for the first report
 * @param report the report of one of its gates
 * @param now monotonic time in milliseconds
 * @returns the new view
 */
export function mergeReport(
	view: DomainView | undefined,
	report: GateReport,
	now: number,
): DomainView {
	const {durationMilliseconds, failureShare} = report;
	const previousWait = view && expectedWait(view, now);
	const wait = previousWait ?? report.waitMilliseconds;
	return {
		waitMilliseconds: wait + (report.waitMilliseconds - wait) * viewWeight,
		durationMilliseconds,
		failureShare,
		heardAt: now,
	};
}

/**
 * Decides whether a request leaves its failure domain, and moves the share of its route.
 *
 * @param state share of the route, changed in place
 * @param question the request and where it may go
 * @param now monotonic time in milliseconds
 * @param random a number from 0 to below 1
 * @returns the decision
 */
export function decideLeaving(
	state: LeavingShare,
	question: LeavingQuestion,
	now: number,
	random: number,
): LeavingDecision {
	const promising = question.destinations
		.map(destination => ({
			destination,
			gain: estimateGain(question, destination, now),
		}))
		.filter(({gain}) => gain > minimumGain)
		.toSorted((left, right) => right.gain - left.gain);
	const open = promising.filter(({destination}) => destination.hasLinkRoom);
	const [best] = open;
	const gain = best?.gain ?? 0;
	const delay = best?.destination.roundTripMilliseconds ?? 0;
	moveShare(state, gain, delay, now);
	const {share} = state;
	const stay = (reason: LeavingReason): LeavingDecision => ({
		reason,
		gain,
		share,
		failureDomains: [],
	});
	if (best === undefined) {
		return stay(promising.length > 0 ? leavingReasons.linkFull : leavingReasons.noGain);
	}

	const isHopeless = !isServedInTime(question);
	if (!isHopeless && random >= share) {
		return stay(leavingReasons.withheld);
	}

	return {
		reason: isHopeless ? leavingReasons.noRoom : leavingReasons.gain,
		gain,
		share,
		failureDomains: open.map(({destination}) => destination.failureDomain),
	};
}

/**
 * Lowers the share of a route, whose requests the own failure domain serves at once.
 *
 * @param state changed in place
 * @param now monotonic time in milliseconds
 */
export function recordOwnRoom(state: LeavingShare, now: number): void {
	moveShare(state, 0, 0, now);
}

/**
 * Charges the gates of other failure domains for the room that the request takes from their own
 * callers.
 *
 * @param candidate a scored gate of another failure domain
 * @param placement the request
 * @returns the gate with the lower score
 */
export function chargeForRoom<Scored extends ScoredCandidate>(
	candidate: Scored,
	placement: PlacementRequest,
): Scored {
	const wait = candidate.report?.waitMilliseconds ?? 0;
	return {...candidate, score: candidate.score - costOfRoom(wait, placement)};
}

/**
 * How far the scores of two distant gates may differ without one being better: the load changes
 * while the reports and the request are on their way, and many nodes see the same report.
 *
 * @param roundTripMilliseconds round trip to the gates
 * @param targetMilliseconds time left until the latency target
 * @returns a difference of scores
 */
export function doubtOfReport(
	roundTripMilliseconds: number,
	targetMilliseconds: number,
): number {
	return Math.min(maximumDoubt, roundTripMilliseconds / Math.max(1, targetMilliseconds));
}

function estimateGain(
	{own, placement, costs}: LeavingQuestion,
	destination: Destination,
	now: number,
): number {
	const {view, distance, roundTripMilliseconds} = destination;
	const wait = view ? expectedWait(view, now) : 0;
	const duration =
		view?.durationMilliseconds ??
		own?.report?.durationMilliseconds ??
		Math.max(0, placement.targetMilliseconds) * defaultDurationShare;
	// The load query takes a round trip before the request is sent.
	const expected = 2 * roundTripMilliseconds + wait + duration;
	const isServed = own?.report !== undefined;
	const saved = isServed ? own.expectedResponseMilliseconds - expected : 0;
	const relative = saved / Math.max(1, placement.targetMilliseconds);
	return (
		valueOfResponse(expected, placement) * (1 - (view?.failureShare ?? 0)) +
		Math.max(-1, Math.min(1, relative)) * timeValue -
		costOfDistance(distance, placement.bytes, costs) -
		costOfRoom(wait, placement) -
		ownValue(own)
	);
}

/** Whether the own failure domain would serve the request before its deadline. */
function isServedInTime({own, placement}: LeavingQuestion): boolean {
	return (
		own?.report !== undefined &&
		own.expectedResponseMilliseconds <= placement.deadlineMilliseconds
	);
}

function ownValue(own: ScoredCandidate | undefined): number {
	return Math.max(0, own?.score ?? 0);
}

function expectedWait(view: DomainView, now: number): number {
	return view.waitMilliseconds * Math.exp((view.heardAt - now) / viewDecayMilliseconds);
}

/** Where no one waits, the request takes no one's room. */
function costOfRoom(waitMilliseconds: number, placement: PlacementRequest): number {
	return Number.isFinite(waitMilliseconds)
		? (roomValue * waitMilliseconds) /
				(waitMilliseconds + Math.max(1, placement.targetMilliseconds))
		: roomValue;
}

function moveShare(
	state: LeavingShare,
	gain: number,
	delayMilliseconds: number,
	now: number,
): void {
	const range = fullGain * (1 + delayMilliseconds / cautionMilliseconds);
	const goal = Math.min(1, Math.max(0, (gain - minimumGain) / range));
	const time = followMilliseconds + 2 * delayMilliseconds;
	const step = Math.min(maximumStep, 1 - Math.exp((state.updatedAt - now) / time));
	state.share += (goal - state.share) * step;
	state.updatedAt = now;
}
