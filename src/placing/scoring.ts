/**
 * Chooses the gate for a request: the one where it is worth most, from what each gate says it
 * would meet there. An answer in time for the target is worth one, a later one a little, and
 * bytes between failure domains and regions cost. A gate that did not answer the question is
 * taken only when no other is left.
 *
 * Load pattern: servers of one service that differ in queue, speed and failures from one moment
 * to the next, a full region beside one with room, large bodies that cost more to move than to
 * delay.
 */

export const distances = {
	/** The gate of the node that took the request. */
	own: 'own',
	failureDomain: 'failure-domain',
	region: 'region',
	remote: 'remote',
} as const;

export type Distance = (typeof distances)[keyof typeof distances];

/** What a gate says a request would meet there now. */
export type GateReport = {
	/** Whether it takes new work at all. */
	readonly accepting: boolean;
	/** Time until a slot comes free. */
	readonly waitMilliseconds: number;
	/** Time that the server takes. */
	readonly durationMilliseconds: number;
	/** Share of its recent requests that failed, 0 to 1. */
	readonly failureShare: number;
};

export type Candidate = {
	readonly nodeId: string;
	readonly distance: Distance;
	/** Undefined when the gate did not answer. */
	readonly report: GateReport | undefined;
	/** Time of a message there and back. */
	readonly roundTripMilliseconds: number;
};

/** The request that is placed. */
export type PlacementRequest = {
	/** Time left until the latency target; negative once it has passed. */
	readonly targetMilliseconds: number;
	readonly deadlineMilliseconds: number;
	/** Bytes of the request and its likely answer. */
	readonly bytes: number;
};

/** Price of bytes, as a share of what an answer in time is worth. */
export type ByteCosts = {
	readonly perKilobyteBetweenDomains: number;
	readonly perKilobyteBetweenRegions: number;
};

export type ScoredCandidate = Candidate & {
	/** What sending the request there is worth; 1 for a certain answer in time at no cost. */
	readonly score: number;
	/** When the answer is expected, in milliseconds from now. */
	readonly expectedResponseMilliseconds: number;
};

/** What an answer after the target is worth; callers were served, but late. */
const lateValue = 0.1;
/** Spread of the actual time around the estimate, as a share of the estimate. */
const estimateSpread = 0.35;
/** From this value on another gate has little to offer. */
const goodValue = 0.8;
/** A server that fails less than this is as good as any. */
const negligibleFailures = 0.1;
const bytesPerKilobyte = 1000;
/** Gates whose values differ by less are told apart by when the answer is expected. */
const sameValue = 0.02;

/**
 * Rates the gates for a request.
 *
 * @param candidates the gates that may be chosen
 * @param placement the request
 * @param costs price of bytes
 * @returns the gates that take work, best first; those that did not answer come last
 */
export function scoreGates(
	candidates: readonly Candidate[],
	placement: PlacementRequest,
	costs: ByteCosts,
): ScoredCandidate[] {
	return candidates
		.filter(({report}) => report === undefined || report.accepting)
		.map(candidate => rate(candidate, placement, costs))
		.toSorted(compareRated);
}

/**
 * Tells whether a gate is taken without asking others: the request would start at once, at a
 * server that fails next to nothing, and is likely answered in time.
 *
 * @param rated the gate
 * @returns whether to take it
 */
export function isGoodEnough({report, score: value}: ScoredCandidate): boolean {
	return (
		report?.waitMilliseconds === 0 &&
		report.failureShare < negligibleFailures &&
		value >= goodValue
	);
}

/**
 * Tells whether gates farther away may be worth the question: whether what the best near gate
 * loses is more than what the bytes to a far one cost.
 *
 * @param best the best near gate; undefined when there is none
 * @param placement the request
 * @param costs price of bytes
 * @returns whether to ask
 */
export function shouldQueryRemoteGates(
	best: ScoredCandidate | undefined,
	placement: PlacementRequest,
	costs: ByteCosts,
): boolean {
	if (best?.report === undefined) {
		return true;
	}

	return best.score < 1 - costOf(distances.remote, placement.bytes, costs) - sameValue;
}

/**
 * Tells whether a request is sent to a gate at all, or rather refused with a time to return. Bytes to
 * another region that cost more than the answer is worth are spent only where the own region has
 * no server.
 *
 * @param rated the gate
 * @param hasNear whether the own region has a server of the service
 * @returns whether to send it
 */
export function isWorthSending(rated: ScoredCandidate, hasNear: boolean): boolean {
	return rated.distance !== distances.remote || !hasNear || rated.score > 0;
}

function rate(
	candidate: Candidate,
	placement: PlacementRequest,
	costs: ByteCosts,
): ScoredCandidate {
	const {report, distance, roundTripMilliseconds} = candidate;
	if (report === undefined) {
		const value = Number.NEGATIVE_INFINITY;
		return {
			...candidate,
			score: value,
			expectedResponseMilliseconds: Number.POSITIVE_INFINITY,
		};
	}

	const finishMilliseconds =
		roundTripMilliseconds + report.waitMilliseconds + report.durationMilliseconds;
	const onTime = chanceOf(finishMilliseconds, placement.targetMilliseconds);
	const inTime = chanceOf(finishMilliseconds, placement.deadlineMilliseconds);
	const answered = onTime + Math.max(0, inTime - onTime) * lateValue;
	const value =
		answered * (1 - report.failureShare) - costOf(distance, placement.bytes, costs);
	return {...candidate, score: value, expectedResponseMilliseconds: finishMilliseconds};
}

/** Chance that an answer expected at one time comes before another. */
function chanceOf(expectedMilliseconds: number, limitMilliseconds: number): number {
	const spread = Math.max(1, expectedMilliseconds * estimateSpread);
	return 1 / (1 + Math.exp((expectedMilliseconds - limitMilliseconds) / spread));
}

function costOf(distance: Distance, bytes: number, costs: ByteCosts): number {
	const kilobytes = bytes / bytesPerKilobyte;
	switch (distance) {
		case distances.own:
		case distances.failureDomain: {
			return 0;
		}

		case distances.region: {
			return kilobytes * costs.perKilobyteBetweenDomains;
		}

		case distances.remote: {
			return kilobytes * costs.perKilobyteBetweenRegions;
		}
	}
}

function compareRated(left: ScoredCandidate, right: ScoredCandidate): number {
	return (
		compareNumbers(roundValue(right.score), roundValue(left.score)) ||
		compareNumbers(
			left.expectedResponseMilliseconds,
			right.expectedResponseMilliseconds,
		) ||
		left.roundTripMilliseconds - right.roundTripMilliseconds
	);
}

function roundValue(value: number): number {
	return Math.round(value / sameValue);
}

/** Orders infinite numbers as well, which a difference does not. */
function compareNumbers(left: number, right: number): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
