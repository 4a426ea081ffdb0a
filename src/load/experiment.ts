/**
 * An experiment of the load tool: its request streams with their rates, the target nodes, and the
 * duration. It is written in YAML; rates and duration are bounded.
 */
import {type Result} from 'neverthrow';
import * as z from 'zod';
import {readDocument, type DocumentFault} from '../settings/index.js';

const maximumRatePerSecond = 100_000;
const maximumDurationSeconds = 3600;
const maximumInFlight = 20_000;
const maximumBodyBytes = 1_073_741_824;

export const arrivalPatterns = {
	/** Poisson process: exponentially distributed gaps. */
	poisson: 'poisson',
	/** Equal gaps. */
	uniform: 'uniform',
} as const;

export const keyPolicies = {
	none: 'none',
	/** A new key chosen by the caller for each request. */
	own: 'own',
} as const;

const rateSchema = z.number().min(0).max(maximumRatePerSecond);

const streamSchema = z.strictObject({
	name: z.string().min(1),
	service: z.string().min(1),
	/** Rank of the requests; by default that of the service. */
	rank: z.string().optional(),
	method: z.string().default('GET'),
	path: z.string().startsWith('/').default('/'),
	/** Number of distinct caller names, used in rotation. */
	callers: z.int().min(1).max(10_000).default(1),
	ratePerSecond: rateSchema,
	arrivals: z.enum(arrivalPatterns).default(arrivalPatterns.poisson),
	/** Rate changes; times are counted from the start. */
	changes: z
		.array(z.strictObject({atSeconds: z.number().min(0), ratePerSecond: rateSchema}))
		.default([]),
	/** Sent with each request; later responses count as late. */
	deadlineMilliseconds: z.int().min(1).max(3_600_000).default(1000),
	bodyBytes: z.int().min(0).max(maximumBodyBytes).default(0),
	keys: z.enum(keyPolicies).default(keyPolicies.none),
	/** Additional headers of each request. */
	headers: z.record(z.string(), z.string()).default({}),
	/** Whether to compare the digest in the response with that of the request body. */
	verify: z.boolean().default(false),
});

export const experimentSchema = z.strictObject({
	name: z.string().min(1),
	seed: z.int().min(0).max(2_147_483_647),
	durationSeconds: z.number().gt(0).max(maximumDurationSeconds),
	/** Initial period whose requests are not recorded. */
	warmUpSeconds: z.number().min(0).default(0),
	/** Requests beyond this limit are not sent later but counted as skipped. */
	maximumInFlight: z.int().min(1).max(maximumInFlight).default(2000),
	/** Data listeners as `host:port`, used in rotation. */
	targets: z.array(z.string().regex(/^.+:\d{1,5}$/v, 'use host:port')).min(1),
	streams: z.array(streamSchema).min(1).max(64),
});

export type Experiment = z.infer<typeof experimentSchema>;

export type Stream = Experiment['streams'][number];

/**
 * Parses an experiment.
 *
 * @param text the experiment in YAML
 * @returns the experiment, or all its faults
 */
export function parseExperiment(text: string): Result<Experiment, DocumentFault[]> {
	return readDocument(text, experimentSchema);
}

/**
 * Finds the targets that are not on a loopback address.
 *
 * @param targets addresses as `host:port`
 * @returns those whose host is not a loopback address
 */
export function findNonLoopbackTargets(targets: readonly string[]): string[] {
	return targets.filter(target => {
		const host = target.slice(0, target.lastIndexOf(':'));
		return (
			host !== 'localhost' && host !== '[::1]' && !/^127(?:\.\d{1,3}){3}$/v.test(host)
		);
	});
}
