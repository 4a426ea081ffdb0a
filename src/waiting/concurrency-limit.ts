/**
 * How many requests a gate lets run at once: the number beyond which answers a second no longer
 * rise. Each answer's duration, freed of its route's usual duration and of the reported speed,
 * gives the stretch at the number of requests that ran beside it. The limit is the number with
 * the highest rate, and never above what the server announced.
 *
 * Load pattern: servers that grow slower when they are nearly full, under a load that keeps them
 * full, beside servers that do not.
 */

/** Answers at one number of running requests before its stretch counts. */
const smallestSample = 12;
/** Weight of one more answer in a moving mean. */
const stretchWeight = 0.08;
/** Share of the slots up to which durations count as undisturbed by other requests. */
const undisturbedShare = 0.6;
/** Gain in rate that a lower limit has to bring before it is taken. */
const smallestGain = 1.08;
/** Time after which an unvisited number of requests is tried again, in milliseconds. */
const retrialMilliseconds = 20_000;
/** The limit never falls below this share of the slots. */
const smallestLimitShare = 0.5;

/** Stretch of work that nothing disturbs. */
const undisturbedStretch = 1;

type Level = {
	/** Duration in proportion to the undisturbed one. */
	contention: number;
	samples: number;
	/** Monotonic milliseconds. */
	lastSampleAt: number;
};

export type ConcurrencyProfile = {
	/** By the number of requests that ran. */
	readonly levels: Map<number, Level>;
	/** Undisturbed duration of each route at usual speed, in milliseconds. */
	readonly uncontendedDurations: Map<string, number>;
};

/** One whole answer. */
export type ConcurrencySample = {
	readonly route: string;
	/** How long the server took, in milliseconds. */
	readonly duration: number;
	/** Slowdown that the server reported meanwhile. */
	readonly slowdown: number;
	/** Requests that ran when it started, itself included. */
	readonly running: number;
};

/** @returns a state that has seen no answer */
export function createConcurrencyProfile(): ConcurrencyProfile {
	return {levels: new Map(), uncontendedDurations: new Map()};
}

/**
 * Learns from one whole answer.
 *
 * @param state changed in place
 * @param sample the answer
 * @param slots requests that the server announced to run at once
 * @param now monotonic time in milliseconds
 */
export function recordSample(
	state: ConcurrencyProfile,
	sample: ConcurrencySample,
	slots: number,
	now: number,
): void {
	const duration = sample.duration / Math.max(sample.slowdown, Number.MIN_VALUE);
	const usual = state.uncontendedDurations.get(sample.route);
	if (sample.running <= slots * undisturbedShare) {
		const next =
			usual === undefined ? duration : usual + (duration - usual) * stretchWeight;
		state.uncontendedDurations.set(sample.route, next);
	}

	if (usual === undefined || usual === 0) {
		return;
	}

	const {running} = sample;
	const level = state.levels.get(running) ?? {
		contention: 1,
		samples: 0,
		lastSampleAt: now,
	};
	level.contention += (duration / usual - level.contention) * stretchWeight;
	level.samples += 1;
	level.lastSampleAt = now;
	state.levels.set(running, level);
}

/**
 * Chooses how many requests may run at once. A lower number that was not seen yet is tried when
 * it would be better if nothing disturbed its work.
 *
 * @param state what was learned
 * @param slots requests that the server announced to run at once
 * @param now monotonic time in milliseconds
 * @returns the limit, from half of the slots to all of them
 */
export function chooseLimit(
	state: ConcurrencyProfile,
	slots: number,
	now: number,
): number {
	const smallest = Math.max(1, Math.ceil(slots * smallestLimitShare));
	const full = findContention(state, slots, now);
	if (full === undefined) {
		return slots;
	}

	let limit = slots;
	let highest = (slots / full) * smallestGain;
	for (let running = slots - 1; running >= smallest; running -= 1) {
		const stretch = findContention(state, running, now);
		const rate = running / (stretch ?? undisturbedStretch);
		if (rate <= highest) {
			continue;
		}

		if (stretch === undefined) {
			return running;
		}

		limit = running;
		highest = rate;
	}

	return limit;
}

function findContention(
	state: ConcurrencyProfile,
	running: number,
	now: number,
): number | undefined {
	const level = state.levels.get(running);
	const isKnown =
		level !== undefined &&
		level.samples >= smallestSample &&
		now - level.lastSampleAt < retrialMilliseconds;
	return isKnown ? Math.max(undisturbedStretch, level.contention) : undefined;
}
