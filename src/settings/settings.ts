/**
 * The settings of a node: who it is, where it listens, whom it asks first. They are read once
 * at the start from a YAML file; a node does not start on a bad one.
 */
import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {parse as parseYaml} from 'yaml';
import {z} from 'zod';

const portSchema = z.int().min(0).max(65_535);
const nameSchema = z
	.string()
	.max(128)
	.regex(/^[\w.:@\-]+$/v);
const hostSchema = z.union([z.ipv4(), z.ipv6()]);

const serviceSchema = z.strictObject({
	rank: nameSchema,
	deadlineMilliseconds: z.int().min(1).max(3_600_000),
	idempotentMethods: z.array(z.string()),
});

const settingsSchema = z.strictObject({
	node: z.strictObject({
		id: nameSchema,
		host: hostSchema,
		region: nameSchema,
		failureDomain: nameSchema,
	}),
	listeners: z.strictObject({
		data: portSchema,
		peer: portSchema,
		control: portSchema,
		local: portSchema,
		administration: portSchema,
	}),
	/** Addresses of other nodes' control listeners, `host:port`. */
	seeds: z.array(z.string()).default([]),
	/** Other nodes, until they are found by membership. */
	members: z
		.array(
			z.strictObject({
				nodeId: nameSchema,
				host: hostSchema,
				peerPort: portSchema,
				controlPort: portSchema,
				region: nameSchema,
				failureDomain: nameSchema,
				service: nameSchema.optional(),
				slots: z.int().min(0).default(0),
			}),
		)
		.default([]),
	platform: z.strictObject({table: z.url()}).optional(),
	/** Policies of services until a configuration is in force. */
	services: z.record(nameSchema, serviceSchema).default({}),
});

/** The checked settings of a node. */
export type Settings = z.infer<typeof settingsSchema>;

/** Why settings were not taken. */
export type SettingsError = {
	readonly kind: 'unreadable' | 'invalid';
	readonly message: string;
};

/**
 * Reads and checks a settings file.
 *
 * @param file path of the YAML file
 * @returns the settings, or every fault found
 */
export function readSettings(file: string): Result<Settings, SettingsError> {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		return err({kind: 'unreadable', message: `cannot read ${file}: ${String(error)}`});
	}

	return parseSettings(text);
}

/**
 * Checks the text of a settings file.
 *
 * @param text YAML
 * @returns the settings, or every fault found
 */
export function parseSettings(text: string): Result<Settings, SettingsError> {
	let document: unknown;
	try {
		document = parseYaml(text);
	} catch (error) {
		return err({kind: 'invalid', message: `the settings are not YAML: ${String(error)}`});
	}

	const parsed = settingsSchema.safeParse(document);
	if (!parsed.success) {
		return err({kind: 'invalid', message: z.prettifyError(parsed.error)});
	}

	return ok(parsed.data);
}
