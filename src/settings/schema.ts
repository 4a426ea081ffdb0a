/**
 * Schema of a node's settings: its identity, listeners, seeds and policies. Unknown keys are
 * faults. Names of durations include the unit.
 */
import * as z from 'zod';
import {roles} from '../administration/access.js';
import {logFormats} from '../log/index.js';

const addressPattern = /^(?:\[[0-9a-f:]+\]|[^:]+):\d{1,5}$/iv;

/** Zero binds to any free port. */
const portSchema = z.int().min(0).max(65_535);
const nameSchema = z
	.string()
	.max(128)
	.regex(/^[\w.:@\-]+$/v, 'use letters, digits and ._:@- only');
const hostSchema = z.union([z.ipv4(), z.ipv6()]);

const serviceSchema = z.strictObject({
	rank: nameSchema,
	deadlineMilliseconds: z.int().min(1).max(3_600_000),
	idempotentMethods: z.array(z.string()),
});

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
	node: z.strictObject({
		id: nameSchema,
		host: hostSchema,
		region: nameSchema,
		failureDomain: nameSchema,
	}),
	/** Port of each listener; no two may share one. */
	listeners: z
		.strictObject({
			data: portSchema,
			peer: portSchema,
			control: portSchema,
			local: portSchema,
			administration: portSchema,
		})
		.superRefine(rejectSharedPorts),
	/** Ports announced to other nodes, where they differ from the listening ports. */
	advertise: z
		.strictObject({
			peer: portSchema.min(1).optional(),
			control: portSchema.min(1).optional(),
		})
		.prefault({}),
	/** Addresses of other nodes' control listeners, `host:port`. */
	seeds: z.array(z.string().regex(addressPattern, 'use host:port')).default([]),
	platform: z.strictObject({table: z.url()}).optional(),
	/** Access to the administration API; tokens are stored only as SHA-256 hashes. */
	administration: z
		.strictObject({
			tokens: z
				.array(
					z.strictObject({
						/** Team whose configuration the token may access; `*` for all teams. */
						team: z.string().min(1),
						role: z.enum(roles),
						sha256: z
							.string()
							.regex(/^[0-9a-f]{64}$/v, 'use the 64 hexadecimal digits of the SHA-256'),
					}),
				)
				.default([]),
		})
		.prefault({}),
	/** Idempotency keys. */
	binding: z
		.strictObject({
			/** The same on every node, newest first; the first signs issued keys. */
			keySecrets: z.array(z.string().min(16)).min(1).max(8).optional(),
			keyLifetimeMilliseconds: z.int().min(1000).max(604_800_000).default(3_600_000),
		})
		.prefault({}),
	/** Log output. */
	log: z.strictObject({format: z.enum(logFormats).default(logFormats.json)}).prefault({}),
	/** Policies of services, used until a configuration is active. */
	services: z.record(nameSchema, serviceSchema).default({}),
});

/** The validated settings of a node. */
export type Settings = z.infer<typeof settingsSchema>;

/** A shared port would expose the APIs of operators and peers to callers. */
function rejectSharedPorts(
	listeners: Readonly<Record<string, number>>,
	context: z.RefinementCtx,
): void {
	const taken = new Map<number, string>();
	for (const [name, port] of Object.entries(listeners)) {
		const other = taken.get(port);
		if (port !== 0 && other !== undefined) {
			context.addIssue({
				code: 'custom',
				path: [name],
				message: `port ${port} is already used by the ${other} listener: give each its own`,
			});
		}

		taken.set(port, name);
	}
}
