/**
 * The schedule of an experiment: when each request is meant to be sent. It is fixed by the seed
 * before the first request goes out, so that slow answers never thin the load.
 */
import {createRandom} from './random.js';
import {arrivalPatterns, type Experiment, type Stream} from './experiment.js';

const millisecondsPerSecond = 1000;
const seedStep = 7919;

/** One request that is to be sent. */
export type Arrival = {
	/** Milliseconds from the start. */
	readonly at: number;
	/** Position of the stream in the experiment. */
	readonly stream: number;
	/** Number of the request within its stream, from 0. */
	readonly number: number;
};

/**
 * Lists the arrivals of all streams in order of time.
 *
 * @param experiment the experiment
 * @returns arrivals, made one by one as they are asked for
 */
export function* scheduleArrivals(experiment: Experiment): Generator<Arrival, void> {
	const sources = experiment.streams.map((stream, index) =>
		scheduleStream(experiment, stream, index),
	);
	const heads = sources.map(source => source.next());
	for (;;) {
		const earliest = findEarliest(heads);
		if (earliest === undefined) {
			return;
		}

		yield earliest;
		heads[earliest.stream] = sources[earliest.stream]!.next();
	}
}

function findEarliest(
	heads: ReadonlyArray<IteratorResult<Arrival, void>>,
): Arrival | undefined {
	let earliest: Arrival | undefined;
	for (const head of heads) {
		if (head.done !== true && (earliest === undefined || head.value.at < earliest.at)) {
			earliest = head.value;
		}
	}

	return earliest;
}

function* scheduleStream(
	experiment: Experiment,
	stream: Stream,
	index: number,
): Generator<Arrival, void> {
	const random = createRandom(experiment.seed + index * seedStep);
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
