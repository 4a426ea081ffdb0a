/**
 * Records the results of the requests of one stream. Latency is measured from the scheduled send
 * time of a request, so that delays in the tool itself are included.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {outcomes, type Outcome} from '../call/index.js';

const microsecondsPerMillisecond = 1000;
const maximumLatencyMicroseconds = 3_600_000_000;
const runSignificantDigits = 3;
const secondSignificantDigits = 2;
const millisecondsPerSecond = 1000;

/** The result of one request. */
export type Observation = {
	/** Scheduled send time, in milliseconds from the start. */
	readonly intendedAt: number;
	/** Time of the complete response or the failure, in milliseconds from the start. */
	readonly endedAt: number;
	readonly outcome: Outcome;
	/** HTTP status; 0 without a complete response. */
	readonly status: number;
	/** Kind of refusal in the response, or code of the connection error; empty for none. */
	readonly refusal: string;
	/** Whether the response belongs to another request. */
	readonly isWrong: boolean;
};

/** Latency in milliseconds. */
export type LatencySummary = {
	readonly count: number;
	readonly mean: number;
	readonly p50: number;
	readonly p90: number;
	readonly p99: number;
	readonly p999: number;
	readonly maximum: number;
};

/** One second of one stream. */
export type SecondSummary = {
	readonly second: number;
	readonly ran: number;
	readonly notRun: number;
	readonly unknown: number;
	/** Latency of the requests that ran, in milliseconds. */
	readonly p50: number;
	readonly p99: number;
};

export type StreamSummary = {
	readonly name: string;
	readonly sent: number;
	/** Requests not sent because too many were in flight. */
	readonly skipped: number;
	readonly ran: number;
	readonly notRun: number;
	readonly unknown: number;
	/** Requests that ran but completed after their deadline. */
	readonly late: number;
	readonly wrong: number;
	readonly latency: LatencySummary;
	/** Latency of refusals with the outcome `not-run`. */
	readonly refusalLatency: LatencySummary;
	readonly statuses: Readonly<Record<string, number>>;
	readonly refusals: Readonly<Record<string, number>>;
	readonly seconds: readonly SecondSummary[];
};

export type Recorder = {
	readonly countSent: () => void;
	readonly countSkipped: () => void;
	readonly record: (observation: Observation) => void;
	readonly summarize: () => StreamSummary;
};

type SecondCounts = {
	ran: number;
	notRun: number;
	unknown: number;
	readonly histogram: Histogram;
};

/**
 * Creates a recorder without observations.
 *
 * @param name name of the stream
 * @param deadlineMilliseconds responses after it count as late
 */
export function createRecorder(name: string, deadlineMilliseconds: number): Recorder {
	const ranHistogram = createHistogram(runSignificantDigits);
	const refusedHistogram = createHistogram(runSignificantDigits);
	const seconds = new Map<number, SecondCounts>();
	const statuses: Record<string, number> = {};
	const refusals: Record<string, number> = {};
	const counts = {sent: 0, skipped: 0, ran: 0, notRun: 0, unknown: 0, late: 0, wrong: 0};

	return {
		countSent() {
			counts.sent += 1;
		},
		countSkipped() {
			counts.skipped += 1;
		},
		record(observation) {
			const latency = observation.endedAt - observation.intendedAt;
			const second = getOrCreateSecond(seconds, observation.intendedAt);
			increment(statuses, String(observation.status));
			if (observation.refusal !== '') {
				increment(refusals, observation.refusal);
			}

			counts.wrong += observation.isWrong ? 1 : 0;
			if (observation.outcome === outcomes.ran) {
				counts.ran += 1;
				counts.late += latency > deadlineMilliseconds ? 1 : 0;
				second.ran += 1;
				recordLatency(ranHistogram, latency);
				recordLatency(second.histogram, latency);
			} else if (observation.outcome === outcomes.notRun) {
				counts.notRun += 1;
				second.notRun += 1;
				recordLatency(refusedHistogram, latency);
			} else {
				counts.unknown += 1;
				second.unknown += 1;
			}
		},
		summarize: () => ({
			name,
			...counts,
			latency: summarizeLatency(ranHistogram),
			refusalLatency: summarizeLatency(refusedHistogram),
			statuses,
			refusals,
			seconds: summarizeSeconds(seconds),
		}),
	};
}

function createHistogram(digits: 2 | 3): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: maximumLatencyMicroseconds,
		numberOfSignificantValueDigits: digits,
		bitBucketSize: 32,
		autoResize: false,
	});
}

function recordLatency(histogram: Histogram, milliseconds: number): void {
	const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
	histogram.recordValue(Math.min(maximumLatencyMicroseconds, Math.max(1, microseconds)));
}

function summarizeLatency(histogram: Histogram): LatencySummary {
	const at = (percentile: number): number =>
		histogram.totalCount === 0
			? 0
			: histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	return {
		count: histogram.totalCount,
		mean: histogram.totalCount === 0 ? 0 : histogram.mean / microsecondsPerMillisecond,
		p50: at(50),
		p90: at(90),
		p99: at(99),
		p999: at(99.9),
		maximum: at(100),
	};
}

function getOrCreateSecond(seconds: Map<number, SecondCounts>, at: number): SecondCounts {
	const number = Math.floor(at / millisecondsPerSecond);
	const found = seconds.get(number);
	if (found !== undefined) {
		return found;
	}

	const created = {
		ran: 0,
		notRun: 0,
		unknown: 0,
		histogram: createHistogram(secondSignificantDigits),
	};
	seconds.set(number, created);
	return created;
}

function summarizeSeconds(seconds: ReadonlyMap<number, SecondCounts>): SecondSummary[] {
	return [...seconds]
		.toSorted(([left], [right]) => left - right)
		.map(([second, {ran, notRun, unknown, histogram}]) => {
			const {p50, p99} = summarizeLatency(histogram);
			return {second, ran, notRun, unknown, p50, p99};
		});
}

function increment(counts: Record<string, number>, name: string): void {
	counts[name] = (counts[name] ?? 0) + 1;
}
