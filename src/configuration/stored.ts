/**
 * A team's configuration in the table: one row with the current document, its version and the
 * latest changes, so that a change and its history are written together.
 */
import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import type {DocumentVersion} from './applied-documents.js';

/** Changes kept in a row, including the current one. */
const maximumHistoryLength = 32;

/** Prefix of the keys of configuration rows; the team's name follows. */
export const configurationKeyPrefix = 'configuration/';

const changeRecordSchema = z.object({
	changeId: z.string(),
	/** Version of the document after the change. */
	version: z.int().positive(),
	/** Wall clock of the node that wrote the row, milliseconds since 1970. */
	acceptedAt: z.number(),
	/** The requester. */
	by: z.string(),
	inForce: z.string(),
	/** Digest of the change's content, to detect a change id reused for another change. */
	digest: z.string(),
});

const storedSchema = z.object({
	team: z.string(),
	version: z.int().positive(),
	text: z.string(),
	/** Newest first. */
	history: z.array(changeRecordSchema),
});

/** One accepted change. */
export type ChangeRecord = Readonly<z.infer<typeof changeRecordSchema>>;

/** The value of a team's row. */
export type StoredConfiguration = Readonly<z.infer<typeof storedSchema>>;

export function toRowKey(team: string): string {
	return configurationKeyPrefix + team;
}

export function toTeamName(key: string): string {
	return key.slice(configurationKeyPrefix.length);
}

/** Serializes a row's value, without the oldest changes beyond `maximumHistoryLength`. */
export function formatStoredConfiguration(stored: StoredConfiguration): string {
	return JSON.stringify({
		...stored,
		history: stored.history.slice(0, maximumHistoryLength),
	});
}

/**
 * Parses a row's value.
 *
 * @param value the value from the table
 * @returns the configuration, or why it is invalid
 */
export function parseStoredConfiguration(
	value: string,
): Result<StoredConfiguration, string> {
	try {
		return ok(storedSchema.parse(JSON.parse(value)));
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
}

/** Converts a row to the form in which nodes exchange documents. */
export function toDocumentVersion(
	stored: StoredConfiguration,
	rowVersion: string,
): DocumentVersion {
	const {team, version, text, history} = stored;
	return {team, version, text, rowVersion, changeId: history[0]?.changeId ?? ''};
}

/** The first 16 hexadecimal digits of the text's SHA-256. */
export function computeDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, 16);
}
