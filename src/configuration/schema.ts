/**
 * The schema of a team's configuration document. Unknown keys are faults; fields with a default
 * are optional. Shares range from 0 to 1.
 */
import * as z from 'zod';

export const routingChoices = {
	/** Candidates picked by their known load, then compared by estimated latency. */
	adaptive: 'adaptive',
	random: 'random',
	roundRobin: 'round-robin',
	/** The server with the fewest requests in flight from this node. */
	leastInFlight: 'least-in-flight',
	/** The less loaded of two random servers, by their last reports. */
	twoChoices: 'two-choices',
} as const;

export type RoutingChoice = (typeof routingChoices)[keyof typeof routingChoices];

const maximumKeyedBodyBytes = 1_048_576;
const maximumDeadlineMilliseconds = 86_400_000;

const share = z.number().min(0).max(1);
const namePattern = String.raw`^[a-z0-9]([a-z0-9\-]{0,61}[a-z0-9])?$`;
const methodPattern = '^[A-Z]+$';
const name = z
	.string()
	.regex(
		new RegExp(namePattern, 'v'),
		'use 1 to 63 lower-case letters, digits and inner hyphens',
	);
const method = z
	.string()
	.regex(new RegExp(methodPattern, 'v'), 'use an HTTP method in capitals, such as GET');

const rankPolicySchema = z.strictObject({
	name,
	/** Share of a server's slots guaranteed to the rank when more urgent ranks overload it. */
	floorShare: share,
});

const servicePolicySchema = z.strictObject({
	/** Default rank of a call, and the most urgent rank that a call may request. */
	rank: name,
	/** Deadline of calls that set none. */
	deadlineMilliseconds: z.number().positive().max(maximumDeadlineMilliseconds),
	idempotentMethods: z.array(method).default(['GET', 'HEAD']),
	/** Largest body of a call with an idempotency key. */
	maximumKeyedBodyBytes: z.int().min(0).default(maximumKeyedBodyBytes),
	/** Whether bodies are streamed and timed out by progress instead of by the deadline. */
	upload: z.boolean().default(false),
});

const routingPolicySchema = z.strictObject({
	choice: z.enum(routingChoices).default(routingChoices.adaptive),
	/** Servers compared for each call. */
	candidates: z.int().min(1).max(64).default(16),
	/** Largest share of a service's servers that may be ejected at once. */
	ejectionShare: share.default(0.2),
	/** Retries as a share of first attempts. */
	retryShare: share.default(0.09),
	/** Hedges as a share of first attempts. */
	hedgeShare: share.default(0.05),
	/** Quantile of latency after which an idempotent call is hedged. */
	hedgeQuantile: z.number().gt(0).lt(1).default(0.95),
	/** Bytes that a node may send to other regions. */
	crossRegionBytesPerSecond: z.number().min(0).default(1_000_000),
});

const admissionPolicySchema = z.strictObject({
	/** Calls that may be queued per slot. */
	queuePerSlot: z.number().min(0).max(1000).default(4),
	/** Whether slots are shared fairly between the callers of one rank. */
	fairness: z.boolean().default(true),
});

const measuringPolicySchema = z.strictObject({
	/** Traffic that a node may use to measure load, including its replies to others. */
	bytesPerSecond: z.number().min(0).default(2048),
	/** Share of one core that a node may use to measure load. */
	processorShare: share.default(0.005),
});

const presetSchema = z.strictObject({
	/** Most urgent first. */
	ranks: z.array(rankPolicySchema).min(1).max(16),
	services: z.record(name, servicePolicySchema),
	routing: routingPolicySchema.prefault({}),
	admission: admissionPolicySchema.prefault({}),
	measuring: measuringPolicySchema.prefault({}),
});

/** The document, without the rules between fields, which are in `rules.ts`. */
export const documentSchema = z.strictObject({
	team: name,
	/** Name of the preset in force. */
	inForce: name,
	presets: z.record(name, presetSchema),
});

export type RankPolicy = Readonly<z.infer<typeof rankPolicySchema>>;
export type ServicePolicy = Readonly<z.infer<typeof servicePolicySchema>>;
export type RoutingPolicy = Readonly<z.infer<typeof routingPolicySchema>>;
export type AdmissionPolicy = Readonly<z.infer<typeof admissionPolicySchema>>;
export type MeasuringPolicy = Readonly<z.infer<typeof measuringPolicySchema>>;
export type Preset = Readonly<z.infer<typeof presetSchema>>;
export type ConfigurationDocument = Readonly<z.infer<typeof documentSchema>>;
