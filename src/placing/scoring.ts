/**
 * Scores the gates for a request by their load reports. A response within the latency target
 * scores 1, a later one a little, and bytes sent between failure domains or regions have a cost.
 * A gate that did not answer the load query is chosen only when no other is left.
 *
 * Load pattern: servers of one service that differ in queue, speed and failures from one moment
 * to the next, a full region beside one with free slots, large bodies that cost more to move than
 * to delay.
 */

export const distances = {
	/** The gate of the node that received the request. */
	own: 'own',
	/** Another gate of the same failure domain. */
	failureDomain: 'failure-domain',
	/** A gate of another failure domain of the same region. */
	region: 'region',
	/** A gate of another region. */
	remote: 'remote',
} as const;

export type Distance = (typeof distances)[keyof typeof distances];

/** The load that a gate reports for a request that would be sent to it now. */
export type GateReport = {
	/** Whether it accepts new requests. */
	readonly accepting: boolean;
	/** Estimated time until the request starts. */
	readonly waitMilliseconds: number;
	/** Estimated time that the server takes, with the transfer of the body. */
	readonly durationMilliseconds: number;
	/** Share of its recent requests that failed, 0 to 1. */
	readonly failureShare: number;
};

export type Candidate = {
	readonly nodeId: string;
	readonly distance: Distance;
	/** Undefined when the gate did not answer. */
	readonly report: GateReport | undefined;
	readonly roundTripMilliseconds: number;
};

/** The request to choose a gate for. */
export type PlacementRequest = {
	/** Time left until the latency target; negative once it has passed. */
	readonly targetMilliseconds: number;
	readonly deadlineMilliseconds: number;
	/** Bytes of the request and its expected response. */
	readonly bytes: number;
};

/** Cost of bytes, in units of the score of a response in time. */
export type ByteCosts = {
	readonly perKilobyteBetweenDomains: number;
	readonly perKilobyteBetweenRegions: number;
};

export type ScoredCandidate = Candidate & {
	/**
	 * Expected value of sending the request there; 1 for a certain response in time at no cost. A
	 * gate of another region has a margin taken off.
	 */
	readonly score: number;
	/** When the response is expected, in milliseconds from now. */
	readonly expectedResponseMilliseconds: number;
};

/** Score of a response between target and deadline; the caller was served, but late. */
const lateScore = 0.1;
/** Spread of the actual response time around the estimate, as a share of the estimate. */
const estimateSpread = 0.35;
/**
 * By how much a gate of another region has to score higher, besides the cost of the bytes. The best
 * of several uncertain estimates promises more than it holds, and the links between regions are
 * shared by all.
 */
const remoteMargin = 0.15;
/** At this score or above, another gate can be only slightly better. */
const goodScore = 0.8;
/** A lower share of failures makes no difference. */
const negligibleFailureShare = 0.1;
const bytesPerKilobyte = 1000;
/** Gates whose scores differ by less are ordered by when the response is expected. */
const scoreStep = 0.02;

/**
 * Scores the gates for a request.
 *
 * @param candidates the gates that may be chosen
 * @param placement the request
 * @param costs cost of bytes
 * @returns the gates that accept requests, best first; those that did not answer come last
 */
export function scoreGates(
	candidates: readonly Candidate[],
	placement: PlacementRequest,
	costs: ByteCosts,
): ScoredCandidate[] {
	return candidates
		.filter(({report}) => report === undefined || report.accepting)
		.map(candidate => scoreCandidate(candidate, placement, costs))
		.toSorted(compareScored);
}

/**
 * Tells whether to choose a gate without querying others: the request would start at once, at a
 * server that fails almost no requests, and is likely answered in time.
 *
 * @param scored the gate
 * @returns whether to choose it
 */
export function isGoodEnough({report, score}: ScoredCandidate): boolean {
	return (
		report?.waitMilliseconds === 0 &&
		report.failureShare < negligibleFailureShare &&
		score >= goodScore
	);
}

/**
 * Tells whether gates of other regions are worth a query: whether the best gate of this node's
 * region scores so far below 1 that one of another region may be worth its cost.
 *
 * @param best the best gate of this node's region; undefined when there is none
 * @param placement the request
 * @param costs cost of bytes
 * @returns whether to query them
 */
export function shouldQueryRemoteGates(
	best: ScoredCandidate | undefined,
	placement: PlacementRequest,
	costs: ByteCosts,
): boolean {
	if (best?.report === undefined) {
		return true;
	}

	const highestRemote =
		1 - remoteMargin - costOf(distances.remote, placement.bytes, costs);
	return best.score < highestRemote - scoreStep;
}

/**
 * Tells whether to send a request to a gate rather than refuse it with a retry delay. It is sent
 * to another region at a higher cost than a response is worth only when this node's region has no
 * server.
 *
 * @param scored the gate
 * @param hasNear whether this node's region has a server of the service
 * @returns whether to send it
 */
export function isWorthSending(scored: ScoredCandidate, hasNear: boolean): boolean {
	return scored.distance !== distances.remote || !hasNear || scored.score > 0;
}

function scoreCandidate(
	candidate: Candidate,
	placement: PlacementRequest,
	costs: ByteCosts,
): ScoredCandidate {
	const {report, distance, roundTripMilliseconds} = candidate;
	if (report === undefined) {
		const score = Number.NEGATIVE_INFINITY;
		return {
			...candidate,
			score,
			expectedResponseMilliseconds: Number.POSITIVE_INFINITY,
		};
	}

	const expectedResponseMilliseconds =
		roundTripMilliseconds + report.waitMilliseconds + report.durationMilliseconds;
	const answered = valueOfResponse(expectedResponseMilliseconds, placement);
	const cost = costOfDistance(distance, placement.bytes, costs);
	const score = answered * (1 - report.failureShare) - cost;
	return {...candidate, score, expectedResponseMilliseconds};
}

/**
 * Estimates what a response is worth that is expected at some time.
 *
 * @param expectedMilliseconds when it is expected, from now
 * @param placement the request
 * @returns 1 for a certain response in time
 */
export function valueOfResponse(
	expectedMilliseconds: number,
	placement: PlacementRequest,
): number {
	const onTime = probabilityOfResponse(
		expectedMilliseconds,
		placement.targetMilliseconds,
	);
	const inTime = probabilityOfResponse(
		expectedMilliseconds,
		placement.deadlineMilliseconds,
	);
	return onTime + Math.max(0, inTime - onTime) * lateScore;
}

/**
 * @param distance where the request would go
 * @param bytes bytes of the request and its expected response
 * @param costs cost of bytes
 * @returns the cost of the way there and back, with the margin for another region
 */
export function costOfDistance(
	distance: Distance,
	bytes: number,
	costs: ByteCosts,
): number {
	const margin = distance === distances.remote ? remoteMargin : 0;
	return costOf(distance, bytes, costs) + margin;
}

/** Probability that a response expected at one time comes before a limit; a logistic function. */
function probabilityOfResponse(
	expectedMilliseconds: number,
	limitMilliseconds: number,
): number {
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

/** Orders scored gates, best first; nearly equal scores by when the response is expected. */
export function compareScored(left: ScoredCandidate, right: ScoredCandidate): number {
	return (
		compareNumbers(roundScore(right.score), roundScore(left.score)) ||
		compareNumbers(
			left.expectedResponseMilliseconds,
			right.expectedResponseMilliseconds,
		) ||
		left.roundTripMilliseconds - right.roundTripMilliseconds
	);
}

function roundScore(score: number): number {
	return Math.round(score / scoreStep);
}

/** Compares infinite numbers as well, which a difference does not. */
function compareNumbers(left: number, right: number): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
