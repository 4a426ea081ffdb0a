/**
 * The shape of a node's settings: who it is, where it listens, whom it asks first. Unknown keys
 * are faults. Times carry their unit in their name.
 */
import * as z from 'zod';
import {roles} from '../administration/access.js';
import {logFormats} from '../log/index.js';

const addressPattern = /^(?:\[[0-9a-f:]+\]|[^:]+):\d{1,5}$/iv;

/** Zero takes any free port. */
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

/** The settings as the library checks them. */
export const settingsSchema = z.strictObject({
	node: z.strictObject({
		id: nameSchema,
		host: hostSchema,
		region: nameSchema,
		failureDomain: nameSchema,
	}),
	/** Ports by listener; the callers' and the operators' are never the same. */
	listeners: z
		.strictObject({
			data: portSchema,
			peer: portSchema,
			control: portSchema,
			local: portSchema,
			administration: portSchema,
		})
		.superRefine(rejectSharedPorts),
	/** Ports under which other nodes reach this one, where they are not those it listens on. */
	advertise: z
		.strictObject({
			peer: portSchema.min(1).optional(),
			control: portSchema.min(1).optional(),
		})
		.prefault({}),
	/** Addresses of other nodes' control listeners, `host:port`. */
	seeds: z.array(z.string().regex(addressPattern, 'use host:port')).default([]),
	platform: z.strictObject({table: z.url()}).optional(),
	/** Who may use the administration API; tokens are named by their SHA-256 only. */
	administration: z
		.strictObject({
			tokens: z
				.array(
					z.strictObject({
						/** Team whose configuration the token reaches; `*` reaches every team's. */
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
	/** Keys of requests that must not repeat. */
	binding: z
		.strictObject({
			/** The same at every node, newest first; the first signs issued keys. */
			keySecrets: z.array(z.string().min(16)).min(1).max(8).optional(),
			keyLifetimeMilliseconds: z.int().min(1000).max(604_800_000).default(3_600_000),
		})
		.prefault({}),
	/** How changes of state are logged. */
	log: z.strictObject({format: z.enum(logFormats).default(logFormats.json)}).prefault({}),
	/** Policies of services until a configuration is in force. */
	services: z.record(nameSchema, serviceSchema).default({}),
});

/** The checked settings of a node. */
export type Settings = z.infer<typeof settingsSchema>;

/** Two listeners on one port would let callers reach what is not theirs. */
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
				message: `port ${port} is that of ${other} too: give each listener its own`,
			});
		}

		taken.set(port, name);
	}
}
