/**
 * A team's configuration as the table keeps it: one row with the document in force, its version
 * and the latest changes, so that a change and its history take effect in one write.
 */
import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import type {DocumentVersion} from './applied-documents.js';

/** Changes that a row remembers; the present one is the first. */
const maximumHistoryLength = 32;

/** Every row of configuration has a key that begins so; the team's name follows. */
export const configurationKeyPrefix = 'configuration/';

const changeRecordSchema = z.object({
	changeId: z.string(),
	/** Version that the change gave the document. */
	version: z.int().positive(),
	/** Wall clock of the node that wrote it, milliseconds since 1970. */
	acceptedAt: z.number(),
	/** Who asked for the change. */
	by: z.string(),
	inForce: z.string(),
	/** Digest of what was asked, by which a change id used for another change is told apart. */
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

/** The row of a team. */
export type StoredConfiguration = Readonly<z.infer<typeof storedSchema>>;

export function toRowKey(team: string): string {
	return configurationKeyPrefix + team;
}

export function toTeamName(key: string): string {
	return key.slice(configurationKeyPrefix.length);
}

/** Writes a row's value; the oldest changes beyond the bound are left out. */
export function formatStoredConfiguration(stored: StoredConfiguration): string {
	return JSON.stringify({
		...stored,
		history: stored.history.slice(0, maximumHistoryLength),
	});
}

/**
 * Reads a row's value.
 *
 * @param value the value as the table gave it
 * @returns the row, or why it is none
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

/** The document of a row, as nodes offer it to each other. */
export function toDocumentVersion(
	stored: StoredConfiguration,
	rowVersion: string,
): DocumentVersion {
	const {team, version, text, history} = stored;
	return {team, version, text, rowVersion, changeId: history[0]?.changeId ?? ''};
}

/** A short digest of a text. */
export function computeDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, 16);
}
