/** Reads and validates the YAML settings of a relay node. */
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'yaml';
import * as z from 'zod';

const port = z.number().int().min(1).max(65_535);
const milliseconds = z.number().positive();
const address = z.object({host: z.string().min(1), port});

const settingsSchema = z.object({
	node: z.object({
		id: z.string().min(1),
		region: z.string().min(1),
		failureDomain: z.string().min(1),
		/** Bandwidth of the VM's network link. */
		linkMegabitsPerSecond: z.number().positive().default(1000),
	}),
	/** The local server. */
	server: z.object({
		service: z.string().min(1),
		address: z.string().min(1),
		/** Maximum number of connections that the server accepts. */
		maximumConnections: z.number().int().positive().default(200),
	}),
	listeners: z.object({
		/** For callers on the VM and its server. */
		callers: z.string().min(1),
		/** Readiness check of callers. */
		readiness: z.string().min(1),
		/** For the announcements of the local server. */
		announcements: z.string().min(1),
		/** IP address at which other nodes reach this one. */
		host: z.union([z.ipv4(), z.ipv6()]),
		/** Address to bind for other nodes, if it differs from `host`. */
		bind: z.string().min(1).optional(),
		/** For other nodes: attempts over TCP, queries over UDP. */
		peer: port,
		/** Gossip over UDP. */
		gossip: port,
		metrics: port,
	}),
	/** Address of the table service. */
	table: z.string().min(1),
	/** Nodes per failure domain that poll the table for routes; gossip informs the rest. */
	pollersPerDomain: z.number().int().positive().default(1),
	/** Time within which a change of the routes has to be in force at all nodes. */
	configurationMilliseconds: milliseconds.default(3000),
	/** Gossip addresses of other nodes, if any are known. */
	seeds: z.array(z.string()).default([]),
	stop: z.object({graceMilliseconds: milliseconds}),
	/** Retry budget of one service, over all nodes. */
	repeats: z.object({
		ratio: z.number().min(0),
		slack: z.number().min(0),
		windowMilliseconds: milliseconds,
	}),
	/** Teams, whose callers identify themselves by keys, and how their limits are kept. */
	teams: z
		.object({
			/** Window for which the caps of teams hold. */
			capWindowMilliseconds: milliseconds.optional(),
			/** Time after which no node may accept a key that was taken away; absent for no limit. */
			revocationMilliseconds: milliseconds.optional(),
		})
		.default({}),
	/** Cost of bytes, as a share of the value of a response that arrives in time. */
	costs: z
		.object({
			perKilobyteBetweenDomains: z.number().min(0).default(0.01),
			perKilobyteBetweenRegions: z.number().min(0).default(0.05),
			/** Bandwidth between two regions, each way, shared by all nodes of a region. */
			linkMegabitsBetweenRegions: z.number().positive().optional(),
		})
		.default({perKilobyteBetweenDomains: 0.01, perKilobyteBetweenRegions: 0.05}),
	placing: z
		.object({
			/** Whether calls leave the failure domain in the share that pays. */
			spill: z.enum(['on', 'off']).default('on'),
		})
		.default({spill: 'on'}),
	/** Budget for measuring the load of servers. */
	measuring: z
		.object({
			bytesPerSecond: z.number().positive().default(16_384),
			processorShare: z.number().positive().max(1).default(0.02),
			/** Limit on requests per second to the health path of a server. */
			probesPerSecond: z.number().min(0).default(50),
		})
		.default({bytesPerSecond: 16_384, processorShare: 0.02, probesPerSecond: 50}),
});

/** Validated settings. */
export type RelaySettings = z.infer<typeof settingsSchema>;

/** Why settings are rejected. */
export type RelaySettingsError = {
	readonly kind: 'settings-invalid';
	readonly message: string;
};

/**
 * Parses and validates settings.
 *
 * @param text the settings as YAML
 * @returns the settings, or an error that lists every fault and its position
 */
export function parseRelaySettings(
	text: string,
): Result<RelaySettings, RelaySettingsError> {
	const document = readYaml(text);
	if (document.isErr()) {
		return err(document.error);
	}

	const parsed = settingsSchema.safeParse(document.value);
	return parsed.success
		? ok(parsed.data)
		: err(createInvalid(z.prettifyError(parsed.error)));
}

/** Address of a listener. */
export type HostPort = z.infer<typeof address>;

/**
 * Splits an address of the form `host:port`.
 *
 * @param text the address
 * @returns host and port
 */
export function splitAddress(text: string): HostPort {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}

function readYaml(text: string): Result<unknown, RelaySettingsError> {
	try {
		return ok(parse(text));
	} catch (error) {
		return err(createInvalid(String(error)));
	}
}

function createInvalid(reason: string): RelaySettingsError {
	return {kind: 'settings-invalid', message: `correct the settings file: ${reason}`};
}
