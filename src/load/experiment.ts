/**
 * An experiment of the load tool: which streams of requests are sent, at which rates, to which
 * nodes, for how long. It is written in YAML and bounded in rate and time.
 */
import {type Result} from 'neverthrow';
import * as z from 'zod';
import {readDocument, type DocumentFault} from '../settings/index.js';

const maximumRatePerSecond = 100_000;
const maximumDurationSeconds = 3600;
const maximumInFlight = 20_000;
const maximumBodyBytes = 1_073_741_824;

export const arrivalPatterns = {
	/** Independent arrivals: exponential gaps. */
	poisson: 'poisson',
	/** Equal gaps. */
	uniform: 'uniform',
} as const;

export const keyPolicies = {
	none: 'none',
	/** A new key of the caller's own for each request. */
	own: 'own',
} as const;

const rateSchema = z.number().min(0).max(maximumRatePerSecond);

const streamSchema = z.strictObject({
	name: z.string().min(1),
	service: z.string().min(1),
	/** Rank of the requests; the service's own when absent. */
	rank: z.string().optional(),
	method: z.string().default('GET'),
	path: z.string().startsWith('/').default('/'),
	/** Distinct caller names that take turns. */
	callers: z.int().min(1).max(10_000).default(1),
	ratePerSecond: rateSchema,
	arrivals: z.enum(arrivalPatterns).default(arrivalPatterns.poisson),
	/** New rates from a time on, counted from the start. */
	changes: z
		.array(z.strictObject({atSeconds: z.number().min(0), ratePerSecond: rateSchema}))
		.default([]),
	/** Sent with each request; answers after it count as late. */
	deadlineMilliseconds: z.int().min(1).max(3_600_000).default(1000),
	bodyBytes: z.int().min(0).max(maximumBodyBytes).default(0),
	keys: z.enum(keyPolicies).default(keyPolicies.none),
	/** Further headers of each request. */
	headers: z.record(z.string(), z.string()).default({}),
	/** Compares the digest in the answer with that of the body sent. */
	verify: z.boolean().default(false),
});

export const experimentSchema = z.strictObject({
	name: z.string().min(1),
	seed: z.int().min(0).max(2_147_483_647),
	durationSeconds: z.number().gt(0).max(maximumDurationSeconds),
	/** Time at the start whose answers are not recorded. */
	warmUpSeconds: z.number().min(0).default(0),
	/** Requests that would exceed it are counted as skipped, never sent late unseen. */
	maximumInFlight: z.int().min(1).max(maximumInFlight).default(2000),
	/** Data listeners that take turns, as `host:port`. */
	targets: z.array(z.string().regex(/^.+:\d{1,5}$/v, 'use host:port')).min(1),
	streams: z.array(streamSchema).min(1).max(64),
});

export type Experiment = z.infer<typeof experimentSchema>;

export type Stream = Experiment['streams'][number];

/**
 * Reads an experiment.
 *
 * @param text the experiment in YAML
 * @returns the experiment, or every fault of it
 */
export function parseExperiment(text: string): Result<Experiment, DocumentFault[]> {
	return readDocument(text, experimentSchema);
}

/**
 * Finds the targets that are not on this machine.
 *
 * @param targets addresses as `host:port`
 * @returns those whose host is no loopback address
 */
export function findNonLoopbackTargets(targets: readonly string[]): string[] {
	return targets.filter(target => {
		const host = target.slice(0, target.lastIndexOf(':'));
		return (
			host !== 'localhost' && host !== '[::1]' && !/^127(?:\.\d{1,3}){3}$/v.test(host)
		);
	});
}
