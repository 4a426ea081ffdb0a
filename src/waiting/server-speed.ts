/**
 * Service time at one server: a moving average for each route, and the slowdown of the server's VM
 * as the server reports it. Other workloads on the VM slow it down for short periods, and a request
 * that starts in a slow period is slow to its end. So a report is used only while it is fresh, and
 * requests are deferred to the end of a slow period where that is faster.
 *
 * Load pattern: servers whose speed shifts by a factor of several within a fraction of a second.
 */

/** Slowdown of a server at its nominal speed. */
export const nominalSlowdown = 1;
/**
 * How long a speed report stays fresh, in milliseconds: short beside a slow period, but long enough for
 * the request that a load query invited.
 */
const freshReportMilliseconds = 12;
/** Typical length of a slow period, in milliseconds. */
const slowPeriodMilliseconds = 150;
/** An estimate of a request that would start at once relies on a report up to this old, in milliseconds. */
const estimateReportMilliseconds = slowPeriodMilliseconds / 2;
/** A slowdown that lasts longer than this becomes the server's baseline, in milliseconds. */
const persistentSlowdownMilliseconds = 3 * slowPeriodMilliseconds;
/** Slowdown relative to the server's baseline from which on it counts as slow. */
const slowThreshold = 1.5;
/** Weight of one more duration in a moving average. */
const durationWeight = 0.1;
/** Share of the latency target assumed as a route's duration before any was measured. */
const defaultShareOfTarget = 0.3;
/** Factor by which a server that does not report its speed is slower until it is warm. */
const coldFactor = 1.5;

export type ServerSpeed = {
	/** Mean duration of each route's requests at nominal speed, in milliseconds. */
	readonly durations: Map<string, number>;
	/** Mean measured duration over all routes, in milliseconds. */
	meanDuration: number | undefined;
	/** Current duration relative to the nominal one; above one is slower. */
	slowdown: number;
	/** Whether the server reports its speed at all; undefined until it was asked. */
	reportsSpeed: boolean | undefined;
	/** Monotonic time of the last report, in milliseconds. */
	reportedAt: number;
	/** Slowdown outside of slow periods; above one while the server is cold. */
	baselineSlowdown: number;
	/** Monotonic time since which all reports were slow without a gap, in milliseconds. */
	slowSince: number | undefined;
	/** Lowest slowdown since then. */
	lowestSlowdown: number;
	/** Monotonic time until which the server is cold, in milliseconds. */
	coldUntil: number;
};

/** @returns the speed of a server about which nothing is known */
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
 * Records the duration of a request that was answered in full.
 *
 * @param speed changed in place
 * @param route name of the route
 * @param milliseconds how long the server took
 * @param slowdown the server's slowdown when the request started
 */
export function recordDuration(
	speed: ServerSpeed,
	route: string,
	milliseconds: number,
	slowdown: number,
): void {
	const nominal = milliseconds / slowdown;
	const mean = speed.durations.get(route) ?? nominal;
	speed.durations.set(route, mean + (nominal - mean) * durationWeight);
	speed.meanDuration ??= milliseconds;
	speed.meanDuration += (milliseconds - speed.meanDuration) * durationWeight;
}

/**
 * Records the slowdown that the server reports.
 *
 * @param speed changed in place
 * @param slowdown duration relative to the nominal one; undefined when the server answered
 *   without reporting it
 * @param now monotonic time in milliseconds
 */
export function recordSlowdown(
	speed: ServerSpeed,
	slowdown: number | undefined,
	now: number,
): void {
	const isFirst = speed.reportsSpeed === undefined;
	const isAfterGap = now - speed.reportedAt > slowPeriodMilliseconds;
	speed.reportsSpeed = slowdown !== undefined;
	speed.slowdown = slowdown ?? nominalSlowdown;
	speed.reportedAt = now;
	if (isFirst || speed.slowdown < speed.baselineSlowdown * slowThreshold) {
		speed.baselineSlowdown = speed.slowdown;
		speed.slowSince = undefined;
		return;
	}

	trackSlowReports(speed, isAfterGap, now);
}

/** Raises the baseline once the reports were slow without a gap for longer than a slow period. */
function trackSlowReports(speed: ServerSpeed, isAfterGap: boolean, now: number): void {
	if (speed.slowSince === undefined || isAfterGap) {
		speed.slowSince = now;
		speed.lowestSlowdown = speed.slowdown;
		return;
	}

	speed.lowestSlowdown = Math.min(speed.lowestSlowdown, speed.slowdown);
	if (now - speed.slowSince > persistentSlowdownMilliseconds) {
		speed.baselineSlowdown = speed.lowestSlowdown;
		speed.slowSince = undefined;
	}
}

/**
 * Assumes the server's baseline for now, since the server could not be asked.
 *
 * @param speed changed in place
 * @param now monotonic time in milliseconds
 */
export function assumeBaselineSpeed(speed: ServerSpeed, now: number): void {
	speed.slowdown = speed.baselineSlowdown;
	speed.reportedAt = now;
}

/**
 * Tells whether the server has to be asked for its speed before a request may start.
 *
 * @param speed what is known of the server
 * @param now monotonic time in milliseconds
 * @returns whether the last report is too old
 */
export function isSpeedStale(speed: ServerSpeed, now: number): boolean {
	return speed.reportsSpeed !== false && now - speed.reportedAt > freshReportMilliseconds;
}

/**
 * Tells whether the server should be asked for its speed before a request is estimated. The start of
 * the request asks again, so an estimate may rest on an older report than a start. The present speed
 * says little about a request that would wait for a slot, and is asked for only to notice a server
 * that hangs.
 *
 * @param speed what is known of the server
 * @param startsAtOnce whether the request would get a slot at once
 * @param now monotonic time in milliseconds
 * @returns whether the last report is too old for the estimate
 */
export function needsReportForEstimate(
	speed: ServerSpeed,
	startsAtOnce: boolean,
	now: number,
): boolean {
	const maximumAge = startsAtOnce ? estimateReportMilliseconds : slowPeriodMilliseconds;
	return speed.reportsSpeed !== false && now - speed.reportedAt > maximumAge;
}

/**
 * Returns the slowdown to use in estimates.
 *
 * @param speed what is known of the server
 * @param now monotonic time in milliseconds
 * @returns the last report while a slow period may last, otherwise the server's baseline
 */
export function currentSlowdown(speed: ServerSpeed, now: number): number {
	return now - speed.reportedAt <= slowPeriodMilliseconds
		? speed.slowdown
		: speed.baselineSlowdown;
}

/**
 * Tells whether a request is better deferred than started: it would be slow to its end, and the
 * slow period is likely to end in less time than it would add.
 *
 * @param speed what is known of the server
 * @param nominalMilliseconds duration of the request at nominal speed
 * @param now monotonic time in milliseconds
 * @returns whether to defer it
 */
export function shouldDefer(
	speed: ServerSpeed,
	nominalMilliseconds: number,
	now: number,
): boolean {
	const slowdown = currentSlowdown(speed, now);
	if (slowdown < speed.baselineSlowdown * slowThreshold) {
		return false;
	}

	return nominalMilliseconds * (slowdown - speed.baselineSlowdown) > expectedDeferral();
}

/**
 * Estimates for how long a request would be deferred.
 *
 * @param speed what is known of the server
 * @param nominalMilliseconds duration of the request at nominal speed
 * @param now monotonic time in milliseconds
 * @returns milliseconds; zero when it would not be deferred
 */
export function estimateDeferral(
	speed: ServerSpeed,
	nominalMilliseconds: number,
	now: number,
): number {
	return shouldDefer(speed, nominalMilliseconds, now) ? expectedDeferral() : 0;
}

/**
 * Estimates how long the server takes for a request once it has started.
 *
 * @param speed what is known of the server
 * @param nominalMilliseconds duration of the request at nominal speed
 * @param now monotonic time in milliseconds
 * @returns milliseconds
 */
export function estimateDuration(
	speed: ServerSpeed,
	nominalMilliseconds: number,
	now: number,
): number {
	return shouldDefer(speed, nominalMilliseconds, now)
		? nominalMilliseconds * speed.baselineSlowdown
		: nominalMilliseconds * currentSlowdown(speed, now);
}

/**
 * Estimates the duration of a route's requests at nominal speed; it is longer while a server that
 * does not report its speed is cold.
 *
 * @param speed what is known of the server
 * @param route name of the route
 * @param targetMilliseconds latency target of the route
 * @param now monotonic time in milliseconds
 * @returns milliseconds
 */
export function estimateNominalDuration(
	speed: ServerSpeed,
	route: string,
	targetMilliseconds: number,
	now: number,
): number {
	const mean = speed.durations.get(route) ?? targetMilliseconds * defaultShareOfTarget;
	const isColdUnreported = now < speed.coldUntil && speed.reportsSpeed === false;
	return isColdUnreported ? mean * coldFactor : mean;
}

/** A slow period is on average half over when it is noticed. */
function expectedDeferral(): number {
	return slowPeriodMilliseconds / 2;
}
