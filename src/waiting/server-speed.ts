/**
 * How long work takes at one server: a moving mean for each route, and the speed of the server's
 * VM as the server reports it. Neighbours on the VM slow it down for short pieces of time, and
 * work that starts in such a piece is slow to its end. So a report counts only while it is fresh,
 * and work is held back for the rest of a slow piece where that ends sooner.
 *
 * Load pattern: servers whose speed shifts by a factor of several within a fraction of a second.
 */

/** Work of the server at its usual speed. */
export const nominalSlowdown = 1;
/** How long a report of the speed counts, in milliseconds; short beside a slow piece. */
const freshMilliseconds = 5;
/** Usual length of a slow piece, in milliseconds. */
const pieceMilliseconds = 150;
/** A slowdown that lasts longer than this is the server's own pace, in milliseconds. */
const steadyMilliseconds = 3 * pieceMilliseconds;
/** Slowdown beyond the server's own pace from which on it counts as slow. */
const slowFrom = 1.5;
/** Weight of one more duration in a moving mean. */
const durationWeight = 0.1;
/** Share of the latency target that a route's work is taken to need before any was seen. */
const unseenTargetShare = 0.3;
/** Factor by which a server that does not report its speed is slower until it is warm. */
const coldFactor = 1.5;

export type ServerSpeed = {
	/** Mean duration of each route's work at usual speed, in milliseconds. */
	readonly durations: Map<string, number>;
	/** Mean duration over all routes as it was, in milliseconds. */
	meanDuration: number | undefined;
	/** Time that work takes now, in proportion to the usual; above one is slower. */
	slowdown: number;
	/** Whether the server reports its speed at all; undefined until it was asked. */
	reportsSpeed: boolean | undefined;
	/** Monotonic time of the last report, in milliseconds. */
	reportedAt: number;
	/** Slowdown outside of slow pieces; above one while the server is cold. */
	baselineSlowdown: number;
	/** Monotonic time since which all reports were slow without a gap, in milliseconds. */
	slowSince: number | undefined;
	/** Lowest slowdown since then. */
	lowestSlowdown: number;
	/** Monotonic time until which the server is cold, in milliseconds. */
	coldUntil: number;
};

/** @returns a pace of which nothing is known */
export function createServerSpeed(): ServerSpeed {
	return {
		durations: new Map(),
		meanDuration: undefined,
		slowdown: nominalSlowdown,
		reportsSpeed: undefined,
		reportedAt: Number.NEGATIVE_INFINITY,
		baselineSlowdown: nominalSlowdown,
		slowSince: undefined,
		lowestSlowdown: nominalSlowdown,
		coldUntil: Number.NEGATIVE_INFINITY,
	};
}

/**
 * Learns from one whole answer.
 *
 * @param pace changed in place
 * @param route name of the route
 * @param milliseconds how long the server took
 * @param slowdown its slowdown when the work started
 */
export function recordDuration(
	pace: ServerSpeed,
	route: string,
	milliseconds: number,
	slowdown: number,
): void {
	const usual = milliseconds / slowdown;
	const known = pace.durations.get(route) ?? usual;
	pace.durations.set(route, known + (usual - known) * durationWeight);
	pace.meanDuration ??= milliseconds;
	pace.meanDuration += (milliseconds - pace.meanDuration) * durationWeight;
}

/**
 * Takes over the speed that the server reports.
 *
 * @param pace changed in place
 * @param slowdown time that work takes, in proportion to the usual; undefined when the server
 *   answered without saying
 * @param now monotonic time in milliseconds
 */
export function recordSlowdown(
	pace: ServerSpeed,
	slowdown: number | undefined,
	now: number,
): void {
	const isFirst = pace.reportsSpeed === undefined;
	const isAfterGap = now - pace.reportedAt > pieceMilliseconds;
	pace.reportsSpeed = slowdown !== undefined;
	pace.slowdown = slowdown ?? nominalSlowdown;
	pace.reportedAt = now;
	if (isFirst || pace.slowdown < pace.baselineSlowdown * slowFrom) {
		pace.baselineSlowdown = pace.slowdown;
		pace.slowSince = undefined;
		return;
	}

	followSlowness(pace, isAfterGap, now);
}

/** A slowness that was seen without a gap for longer than a slow piece lasts is the own pace. */
function followSlowness(pace: ServerSpeed, isAfterGap: boolean, now: number): void {
	if (pace.slowSince === undefined || isAfterGap) {
		pace.slowSince = now;
		pace.lowestSlowdown = pace.slowdown;
		return;
	}

	pace.lowestSlowdown = Math.min(pace.lowestSlowdown, pace.slowdown);
	if (now - pace.slowSince > steadyMilliseconds) {
		pace.baselineSlowdown = pace.lowestSlowdown;
		pace.slowSince = undefined;
	}
}

/**
 * Reckons with the server's own pace for now, since it could not be asked.
 *
 * @param pace changed in place
 * @param now monotonic time in milliseconds
 */
export function assumeBaselineSpeed(pace: ServerSpeed, now: number): void {
	pace.slowdown = pace.baselineSlowdown;
	pace.reportedAt = now;
}

/**
 * Tells whether the speed has to be asked for before work may start.
 *
 * @param pace what is known of the server
 * @param now monotonic time in milliseconds
 * @returns whether the last report is too old
 */
export function isSpeedStale(pace: ServerSpeed, now: number): boolean {
	return pace.reportsSpeed !== false && now - pace.reportedAt > freshMilliseconds;
}

/**
 * Tells the slowdown to reckon with.
 *
 * @param pace what is known of the server
 * @param now monotonic time in milliseconds
 * @returns the last report while a slow piece may last, otherwise the server's own pace
 */
export function currentSlowdown(pace: ServerSpeed, now: number): number {
	return now - pace.reportedAt <= pieceMilliseconds
		? pace.slowdown
		: pace.baselineSlowdown;
}

/**
 * Tells whether work is better held back than started: it would be slow to its end, and the slow
 * piece is likely over sooner than what it would add.
 *
 * @param pace what is known of the server
 * @param usualMilliseconds duration of the work at usual speed
 * @param now monotonic time in milliseconds
 * @returns whether to hold it
 */
export function shouldDefer(
	pace: ServerSpeed,
	usualMilliseconds: number,
	now: number,
): boolean {
	const slowdown = currentSlowdown(pace, now);
	if (slowdown < pace.baselineSlowdown * slowFrom) {
		return false;
	}

	return usualMilliseconds * (slowdown - pace.baselineSlowdown) > expectedDeferral();
}

/**
 * Estimates for how long work would be held back.
 *
 * @param pace what is known of the server
 * @param usualMilliseconds duration of the work at usual speed
 * @param now monotonic time in milliseconds
 * @returns milliseconds; zero when it would not be held
 */
export function estimateDeferral(
	pace: ServerSpeed,
	usualMilliseconds: number,
	now: number,
): number {
	return shouldDefer(pace, usualMilliseconds, now) ? expectedDeferral() : 0;
}

/**
 * Estimates how long the server takes for work once it has started.
 *
 * @param pace what is known of the server
 * @param usualMilliseconds duration of the work at usual speed
 * @param now monotonic time in milliseconds
 * @returns milliseconds
 */
export function estimateDuration(
	pace: ServerSpeed,
	usualMilliseconds: number,
	now: number,
): number {
	return shouldDefer(pace, usualMilliseconds, now)
		? usualMilliseconds * pace.baselineSlowdown
		: usualMilliseconds * currentSlowdown(pace, now);
}

/**
 * Estimates the duration of a route's work at usual speed.
 *
 * @param pace what is known of the server
 * @param route name of the route
 * @param targetMilliseconds latency target of the route
 * @param now monotonic time in milliseconds
 * @returns milliseconds
 */
export function estimateNominalDuration(
	pace: ServerSpeed,
	route: string,
	targetMilliseconds: number,
	now: number,
): number {
	const mean = pace.durations.get(route) ?? targetMilliseconds * unseenTargetShare;
	const isColdUnsaid = now < pace.coldUntil && pace.reportsSpeed === false;
	return isColdUnsaid ? mean * coldFactor : mean;
}

/** On average half of a slow piece is over when it is seen. */
function expectedDeferral(): number {
	return pieceMilliseconds / 2;
}
