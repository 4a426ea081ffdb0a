/**
 * Limits how many requests of a gate run concurrently: to the number above which throughput no
 * longer rises. The duration of each complete response, divided by its route's uncontended duration
 * and by the reported slowdown, gives the contention at the number of requests that ran beside it.
 * The limit is the number with the highest throughput, and never above what the server announced.
 *
 * Load pattern: servers that become slower when they are nearly full, under a load that keeps them
 * full, beside servers that do not.
 */

/** Samples at one number of running requests before its contention is used. */
const minimumSamples = 12;
/** Weight of one more sample in a moving average. */
const sampleWeight = 0.08;
/** Share of the slots up to which durations count as uncontended. */
const uncontendedShare = 0.6;
/** Factor by which a lower limit has to raise throughput before it is used. */
const minimumGain = 1.08;
/** Time after which a limit without new samples is tried again, in milliseconds. */
const retrialMilliseconds = 20_000;
/** The limit never falls below this share of the slots. */
const minimumLimitShare = 0.5;

/** Contention of a request that no other slows down. */
const noContention = 1;

type Level = {
	/** Duration relative to the uncontended one. */
	contention: number;
	samples: number;
	/** Monotonic time in milliseconds. */
	lastSampleAt: number;
};

export type ConcurrencyProfile = {
	/** By the number of requests that ran. */
	readonly levels: Map<number, Level>;
	/** Uncontended duration of each route at nominal speed, in milliseconds. */
	readonly uncontendedDurations: Map<string, number>;
};

/** One complete response. */
export type ConcurrencySample = {
	readonly route: string;
	/** How long the server took, in milliseconds. */
	readonly duration: number;
	/** Slowdown of the server when the request started. */
	readonly slowdown: number;
	/** Requests that ran when it started, itself included. */
	readonly running: number;
};

/** @returns a profile without samples */
export function createConcurrencyProfile(): ConcurrencyProfile {
	return {levels: new Map(), uncontendedDurations: new Map()};
}

/**
 * Records one complete response.
 *
 * @param profile changed in place
 * @param sample the response
 * @param slots concurrent requests that the server accepts, as it announced
 * @param now monotonic time in milliseconds
 */
export function recordSample(
	profile: ConcurrencyProfile,
	sample: ConcurrencySample,
	slots: number,
	now: number,
): void {
	const duration = sample.duration / Math.max(sample.slowdown, Number.MIN_VALUE);
	const uncontended = profile.uncontendedDurations.get(sample.route);
	if (sample.running <= slots * uncontendedShare) {
		const next =
			uncontended === undefined
				? duration
				: uncontended + (duration - uncontended) * sampleWeight;
		profile.uncontendedDurations.set(sample.route, next);
	}

	if (uncontended === undefined || uncontended === 0) {
		return;
	}

	const {running} = sample;
	const level = profile.levels.get(running) ?? {
		contention: 1,
		samples: 0,
		lastSampleAt: now,
	};
	level.contention += (duration / uncontended - level.contention) * sampleWeight;
	level.samples += 1;
	level.lastSampleAt = now;
	profile.levels.set(running, level);
}

/**
 * Chooses how many requests may run concurrently. A lower number without samples
 * is tried if its throughput without contention would be higher.
 *
 * @param profile the recorded samples
 * @param slots concurrent requests that the server accepts, as it announced
 * @param now monotonic time in milliseconds
 * @returns the limit, from half of the slots to all of them
 */
export function chooseLimit(
	profile: ConcurrencyProfile,
	slots: number,
	now: number,
): number {
	const minimum = Math.max(1, Math.ceil(slots * minimumLimitShare));
	const contentionWhenFull = findContention(profile, slots, now);
	if (contentionWhenFull === undefined) {
		return slots;
	}

	let limit = slots;
	let highest = (slots / contentionWhenFull) * minimumGain;
	for (let running = slots - 1; running >= minimum; running -= 1) {
		const contention = findContention(profile, running, now);
		const throughput = running / (contention ?? noContention);
		if (throughput <= highest) {
			continue;
		}

		if (contention === undefined) {
			return running;
		}

		limit = running;
		highest = throughput;
	}

	return limit;
}

function findContention(
	profile: ConcurrencyProfile,
	running: number,
	now: number,
): number | undefined {
	const level = profile.levels.get(running);
	const isKnown =
		level !== undefined &&
		level.samples >= minimumSamples &&
		now - level.lastSampleAt < retrialMilliseconds;
	return isKnown ? Math.max(noContention, level.contention) : undefined;
}
