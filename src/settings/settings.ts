/**
 * Reads the settings of a node, once at its start. A node does not start on a bad file, and
 * every fault of it is named at once.
 */
import {readFileSync} from 'node:fs';
import {err, type Result} from 'neverthrow';
import {formatFaults, readDocument, type DocumentFault} from './document.js';
import {settingsSchema, type Settings} from './schema.js';

/** Why settings were not taken. */
export type SettingsError = {
	readonly kind: 'unreadable' | 'invalid';
	/** Every fault on a line of its own, with a remedy. */
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
 * Checks the text of a settings file.
 *
 * @param text YAML
 * @returns the settings with their defaults filled in, or every fault found
 */
export function parseSettings(text: string): Result<Settings, DocumentFault[]> {
	return readDocument(text, settingsSchema);
}
