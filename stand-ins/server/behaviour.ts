/**
 * Options of the stand-in server (slots, service times, cold start) and its faults. Faults can be
 * changed at run time through `/stand-in/faults`; the options are fixed when the process starts.
 */
import {z} from 'zod';

export const distributions = {
	fixed: 'fixed',
	exponential: 'exponential',
} as const;

export type Distribution = (typeof distributions)[keyof typeof distributions];

/** Options of one server, fixed when it starts. */
export type ServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly service: string;
	readonly name: string;
	/** Maximum number of concurrent requests. */
	readonly slots: number;
	/** Maximum number of requests waiting for a slot; the server sheds any beyond it. */
	readonly queueLength: number;
	/** Mean service time of one request. */
	readonly serviceTimeMilliseconds: number;
	readonly distribution: Distribution;
	readonly seed: number;
	/** Time after the start during which requests take `coldStartFactor` times as long. */
	readonly coldStartMilliseconds: number;
	readonly coldStartFactor: number;
	/** Local listener of the node that the server announces itself to, as `host:port`, if any. */
	readonly local?: string;
	/** File that the journal is also written to, so that it survives a crash, if any. */
	readonly journalFile?: string;
};

/** Schema of a change of faults; absent members keep their value. */
export const faultsSchema = z.strictObject({
	/** Multiplies every service time. */
	straggleFactor: z.number().min(0).max(10_000).optional(),
	/** Sheds every request before it runs. */
	shed: z.boolean().optional(),
	/** Responds to every request with status 500 immediately. */
	failFast: z.boolean().optional(),
	/** Accepts requests and never responds. */
	hang: z.boolean().optional(),
	/** Stops processing when the caller disconnects or the deadline passes. */
	honoursCancellation: z.boolean().optional(),
	/** Whether the server announces itself to its node. */
	announces: z.boolean().optional(),
	/** Reported instead of the actual number of requests in flight; -1 reports the actual one. */
	reportedInFlight: z.number().int().min(-1).optional(),
	/** Keeps reporting the last load reported before this was set. */
	frozenReport: z.boolean().optional(),
});

export type Faults = Required<z.infer<typeof faultsSchema>>;

/** @returns the settings of a server without faults */
export function createFaults(): Faults {
	return {
		straggleFactor: 1,
		shed: false,
		failFast: false,
		hang: false,
		honoursCancellation: true,
		announces: true,
		reportedInFlight: -1,
		frozenReport: false,
	};
}

/**
 * Draws one service time.
 *
 * @param options options of the server
 * @param faults current faults
 * @param ageMilliseconds time since the server started
 * @param random returns numbers in [0, 1)
 * @returns the service time in milliseconds
 */
export function drawServiceTime(
	options: ServerOptions,
	faults: Faults,
	ageMilliseconds: number,
	random: () => number,
): number {
	const isCold = ageMilliseconds < options.coldStartMilliseconds;
	const coldFactor = isCold ? options.coldStartFactor : 1;
	const mean = options.serviceTimeMilliseconds * faults.straggleFactor * coldFactor;
	if (options.distribution === distributions.fixed) {
		return mean;
	}

	return -Math.log(1 - random()) * mean;
}
