/**
 * How the stand-in server behaves: its size, its service times and its faults. Faults change at
 * run time over the control path; everything else is fixed when the process starts.
 */
import {z} from 'zod';

export const distributions = {
	fixed: 'fixed',
	exponential: 'exponential',
} as const;

export type Distribution = (typeof distributions)[keyof typeof distributions];

/** Fixed properties of one server. */
export type ServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly service: string;
	readonly name: string;
	/** Requests that run at once. */
	readonly slots: number;
	/** Requests that wait for a slot before the server sheds. */
	readonly queueLength: number;
	/** Mean service time of one request. */
	readonly serviceTimeMilliseconds: number;
	readonly distribution: Distribution;
	readonly seed: number;
	/** Time from the start in which requests take `coldStartFactor` times as long. */
	readonly coldStartMilliseconds: number;
	readonly coldStartFactor: number;
	/** Local listener of the node beside this server, as `host:port`; absent for none. */
	readonly local?: string;
	/** File that receives the journal, so that it outlives a crash; absent for none. */
	readonly journalFile?: string;
};

/** Schema of a change of faults; absent members stay as they are. */
export const faultsSchema = z.strictObject({
	/** Multiplies every service time. */
	straggleFactor: z.number().min(0).max(10_000).optional(),
	/** Refuses every request before it runs. */
	shed: z.boolean().optional(),
	/** Answers every request with status 500 at once. */
	failFast: z.boolean().optional(),
	/** Accepts requests and never answers them. */
	hang: z.boolean().optional(),
	/** Stops work when the caller leaves or the deadline passes. */
	honoursCancellation: z.boolean().optional(),
	/** Announces itself to its node. */
	announces: z.boolean().optional(),
	/** Reported in place of the true requests in flight; -1 reports the truth. */
	reportedInFlight: z.number().int().min(-1).optional(),
	/** Repeats the report made when this was switched on. */
	frozenReport: z.boolean().optional(),
});

export type Faults = Required<z.infer<typeof faultsSchema>>;

/** @returns the faults of a sound server: none */
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
 * @param options properties of the server
 * @param faults present faults
 * @param ageMilliseconds time since the server started
 * @param random source of numbers from 0 up to, not including, 1
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
