/**
 * How long work takes at one server: a moving mean for each route, and the speed that the server
 * reports of its VM. Neighbours on the VM slow it down for short pieces of time, so a report
 * counts only for as long as such a piece lasts.
 *
 * Load pattern: servers whose speed shifts by a factor of several within a fraction of a second.
 */

/** Work of the server at its usual speed. */
export const usualSpeed = 1;
/** How long a report of the speed counts, in milliseconds; the usual length of a slow piece. */
const reportLifetimeMilliseconds = 150;
/** Weight of one more duration in a moving mean. */
const durationWeight = 0.1;
/** Share of the latency target that a route's work is taken to need before any was seen. */
const unseenTargetShare = 0.3;
/** Factor by which a server is slower until it is warm. */
const coldFactor = 1.5;

export type Pace = {
	/** Mean duration of each route's work, in milliseconds. */
	readonly durations: Map<string, number>;
	/** Mean duration over all routes, in milliseconds. */
	meanDuration: number | undefined;
	/** Time that work takes now, in proportion to the usual; above one is slower. */
	slowdown: number;
	/** Monotonic time of that report, in milliseconds. */
	reportedAt: number;
	/** Monotonic time until which the server is cold, in milliseconds. */
	coldUntil: number;
};

/** @returns a pace of which nothing is known */
export function createPace(): Pace {
	return {
		durations: new Map(),
		meanDuration: undefined,
		slowdown: usualSpeed,
		reportedAt: Number.NEGATIVE_INFINITY,
		coldUntil: Number.NEGATIVE_INFINITY,
	};
}

/**
 * Learns from one whole answer.
 *
 * @param pace changed in place
 * @param route name of the route
 * @param milliseconds how long the server took
 */
export function learnDuration(pace: Pace, route: string, milliseconds: number): void {
	const known = pace.durations.get(route);
	const mean =
		known === undefined ? milliseconds : known + (milliseconds - known) * durationWeight;
	pace.durations.set(route, mean);
	pace.meanDuration ??= milliseconds;
	pace.meanDuration += (milliseconds - pace.meanDuration) * durationWeight;
}

/**
 * Takes over the speed that the server reports.
 *
 * @param pace changed in place
 * @param slowdown time that work takes, in proportion to the usual
 * @param now monotonic time in milliseconds
 */
export function reportSlowdown(pace: Pace, slowdown: number, now: number): void {
	pace.slowdown = slowdown;
	pace.reportedAt = now;
}

/**
 * Tells the slowdown to reckon with.
 *
 * @param pace what is known of the server
 * @param now monotonic time in milliseconds
 * @returns the last report while it counts, otherwise the usual speed
 */
export function currentSlowdown(pace: Pace, now: number): number {
	return now - pace.reportedAt <= reportLifetimeMilliseconds ? pace.slowdown : usualSpeed;
}

/**
 * Estimates how long the server takes for work that starts now.
 *
 * @param pace what is known of the server
 * @param route name of the route
 * @param targetMilliseconds latency target of the route
 * @param now monotonic time in milliseconds
 * @returns milliseconds
 */
export function estimateDuration(
	pace: Pace,
	route: string,
	targetMilliseconds: number,
	now: number,
): number {
	const mean = pace.durations.get(route) ?? targetMilliseconds * unseenTargetShare;
	const cold = now < pace.coldUntil ? coldFactor : 1;
	return mean * cold + estimateSlowPiece(pace, now);
}

/** What the rest of a slow piece adds: on average half of it is over, at the reported speed. */
function estimateSlowPiece(pace: Pace, now: number): number {
	const slowdown = currentSlowdown(pace, now);
	return slowdown > usualSpeed
		? (reportLifetimeMilliseconds / 2) * (1 - usualSpeed / slowdown)
		: 0;
}
