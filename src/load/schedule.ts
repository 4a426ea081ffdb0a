/**
 * The schedule of an experiment: the send time of each request. It depends only on the experiment
 * and its seed, so that slow responses never reduce the load.
 */
import {createRandom} from './random.js';
import {arrivalPatterns, type Experiment, type Stream} from './experiment.js';

const millisecondsPerSecond = 1000;
const streamSeedIncrement = 7919;

/** A scheduled request. */
export type Arrival = {
	/** Milliseconds from the start. */
	readonly at: number;
	/** Index of the stream in the experiment. */
	readonly stream: number;
	/** Sequence number of the request in its stream, from 0. */
	readonly number: number;
};

/**
 * Generates the arrivals of all streams in order of time.
 *
 * @param experiment the experiment
 * @returns the arrivals, generated lazily
 */
export function* scheduleArrivals(experiment: Experiment): Generator<Arrival, void> {
	const schedules = experiment.streams.map((stream, index) =>
		scheduleStream(experiment, stream, index),
	);
	const nextArrivals = schedules.map(schedule => schedule.next());
	for (;;) {
		const earliest = findEarliest(nextArrivals);
		if (earliest === undefined) {
			return;
		}

		yield earliest;
		nextArrivals[earliest.stream] = schedules[earliest.stream]!.next();
	}
}

function findEarliest(
	nextArrivals: ReadonlyArray<IteratorResult<Arrival, void>>,
): Arrival | undefined {
	let earliest: Arrival | undefined;
	for (const candidate of nextArrivals) {
		if (
			candidate.done !== true &&
			(earliest === undefined || candidate.value.at < earliest.at)
		) {
			earliest = candidate.value;
		}
	}

	return earliest;
}

function* scheduleStream(
	experiment: Experiment,
	stream: Stream,
	index: number,
): Generator<Arrival, void> {
	const random = createRandom(experiment.seed + index * streamSeedIncrement);
	let number = 0;
	for (const phase of listPhases(experiment, stream)) {
		if (phase.ratePerSecond === 0) {
			continue;
		}

		const meanGap = millisecondsPerSecond / phase.ratePerSecond;
		let at = phase.from + drawGap(stream, meanGap, random);
		while (at < phase.until) {
			yield {at, stream: index, number};
			number += 1;
			at += drawGap(stream, meanGap, random);
		}
	}
}

type Phase = {
	readonly from: number;
	readonly until: number;
	readonly ratePerSecond: number;
};

function listPhases(experiment: Experiment, stream: Stream): Phase[] {
	const end = experiment.durationSeconds * millisecondsPerSecond;
	const steps = [
		{atSeconds: 0, ratePerSecond: stream.ratePerSecond},
		...stream.changes.toSorted((left, right) => left.atSeconds - right.atSeconds),
	];
	return steps.map((step, index) => ({
		from: step.atSeconds * millisecondsPerSecond,
		until: Math.min(
			end,
			(steps[index + 1]?.atSeconds ?? Number.POSITIVE_INFINITY) * millisecondsPerSecond,
		),
		ratePerSecond: step.ratePerSecond,
	}));
}

function drawGap(stream: Stream, meanGap: number, random: () => number): number {
	return stream.arrivals === arrivalPatterns.uniform
		? meanGap
		: -Math.log(1 - random()) * meanGap;
}
