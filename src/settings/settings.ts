/**
 * Reads the settings of a node, once at startup. A node does not start with an invalid file; all
 * faults of the file are reported at once.
 */
import {readFileSync} from 'node:fs';
import {err, type Result} from 'neverthrow';
import {formatFaults, readDocument, type DocumentFault} from './document.js';
import {settingsSchema, type Settings} from './schema.js';

/** Why settings were rejected. */
export type SettingsError = {
	readonly kind: 'unreadable' | 'invalid';
	/** One line per fault, with a remedy. */
	readonly message: string;
};

/**
 * Reads and validates a settings file.
 *
 * @param file path of the YAML file
 * @returns the settings, or every fault found
 */
export function readSettings(file: string): Result<Settings, SettingsError> {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		const message = `cannot read ${file} (${reason}): check the path and its permissions`;
		return err({kind: 'unreadable', message});
	}

	return parseSettings(text).mapErr(faults => ({
		kind: 'invalid',
		message: formatFaults(file, faults),
	}));
}

/**
 * Validates the text of a settings file.
 *
 * @param text YAML
 * @returns the settings with their defaults filled in, or every fault found
 */
export function parseSettings(text: string): Result<Settings, DocumentFault[]> {
	return readDocument(text, settingsSchema);
}
