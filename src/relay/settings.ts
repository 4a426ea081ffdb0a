/** The settings of a relay node, read from YAML and checked as a whole. */
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
		/** What the link of the VM carries. */
		linkMegabitsPerSecond: z.number().positive().default(1000),
	}),
	/** The server beside the node. */
	server: z.object({
		service: z.string().min(1),
		address: z.string().min(1),
		/** Connections that it accepts at most. */
		maximumConnections: z.number().int().positive().default(200),
	}),
	listeners: z.object({
		/** For callers on the VM and its server. */
		callers: z.string().min(1),
		/** Tells whether callers should send work here. */
		readiness: z.string().min(1),
		/** For what the server beside the node says of itself. */
		announcements: z.string().min(1),
		/** Where other nodes reach this one. */
		host: z.string().min(1),
		/** Address to listen at for other nodes, where it differs from the one they use. */
		bind: z.string().min(1).optional(),
		/** For other nodes: attempts over TCP, questions over UDP. */
		peer: port,
		/** Gossip over UDP. */
		gossip: port,
		metrics: port,
	}),
	/** Address of the table service. */
	table: z.string().min(1),
	/** Nodes of each failure domain that follow the routes in the table; gossip tells the rest. */
	pollersPerDomain: z.number().int().positive().default(16),
	/** Addresses of other nodes' gossip, if any are known. */
	seeds: z.array(z.string()).default([]),
	stop: z.object({graceMilliseconds: milliseconds}),
	/** The bound on repeats of one service, over all nodes. */
	repeats: z.object({
		ratio: z.number().min(0),
		slack: z.number().min(0),
		windowMilliseconds: milliseconds,
	}),
	/** Price of bytes, as a share of what an answer in time is worth. */
	costs: z
		.object({
			perKilobyteBetweenDomains: z.number().min(0).default(0.01),
			perKilobyteBetweenRegions: z.number().min(0).default(0.05),
		})
		.default({perKilobyteBetweenDomains: 0.01, perKilobyteBetweenRegions: 0.05}),
	/** What the node may spend on knowing the load of servers. */
	measuring: z
		.object({
			bytesPerSecond: z.number().positive().default(16_384),
			processorShare: z.number().positive().max(1).default(0.02),
			/** Questions that one server's health path may be asked in a second. */
			probesPerSecond: z.number().min(0).default(50),
		})
		.default({bytesPerSecond: 16_384, processorShare: 0.02, probesPerSecond: 50}),
});

/** Checked settings. */
export type RelaySettings = z.infer<typeof settingsSchema>;

/** Why settings are not used. */
export type RelaySettingsError = {
	readonly kind: 'settings-invalid';
	readonly message: string;
};

/**
 * Reads settings.
 *
 * @param text the settings as YAML
 * @returns the settings, or every fault in them with its place
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

/** Where a listener stands. */
export type HostPort = z.infer<typeof address>;

/**
 * Splits an address of the form `host:port`.
 *
 * @param text the address
 * @returns host and port
 */
export function splitAddress(text: string): HostPort {
	const at = text.lastIndexOf(':');
	return {host: text.slice(0, at), port: Number(text.slice(at + 1))};
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
