/**
 * Parses a team's configuration document from YAML. All faults are reported in one pass, each with
 * its line and a remedy; a document with a fault is rejected as a whole.
 */
import {Buffer} from 'node:buffer';
import {err, type Result} from 'neverthrow';
import {parseDocument} from 'yaml';
import {readDocument, type DocumentFault} from '../settings/document.js';
import {findCrossFieldFaults} from './rules.js';
import {
	documentSchema,
	type ConfigurationDocument,
	type Preset,
	type RankPolicy,
	type ServicePolicy,
} from './schema.js';

const maximumDocumentBytes = 524_288;

/**
 * Parses and validates a document.
 *
 * @param text the document in YAML
 * @returns the document with defaults filled in, or all its faults, by line
 */
export function parseConfiguration(
	text: string,
): Result<ConfigurationDocument, DocumentFault[]> {
	if (Buffer.byteLength(text) > maximumDocumentBytes) {
		const message = `the document is over ${maximumDocumentBytes} bytes; split it between teams`;
		return err([{line: 1, place: '', message}]);
	}

	return readDocument(text, documentSchema, findCrossFieldFaults);
}

/**
 * Sets the preset in force and preserves the rest of the text, comments included.
 *
 * @param text a valid document
 * @param presetName the preset to put in force
 */
export function setPresetInForce(text: string, presetName: string): string {
	const source = parseDocument(text);
	source.set('inForce', presetName);
	return source.toString({lineWidth: 0});
}

/** A service's policy with the preset and the team that define it. */
export type ResolvedServicePolicy = {
	readonly team: string;
	readonly preset: Preset;
	readonly service: ServicePolicy;
	/** Most urgent first. */
	readonly ranks: readonly RankPolicy[];
};

/**
 * Finds the policy that applies to a service.
 *
 * @param documents the applied documents, one per team; the first that names the service wins
 * @param serviceName name of the service
 * @returns the policy, or `undefined` when no preset in force names the service
 */
export function findServicePolicy(
	documents: Iterable<ConfigurationDocument>,
	serviceName: string,
): ResolvedServicePolicy | undefined {
	for (const document of documents) {
		const preset = document.presets[document.inForce];
		if (preset !== undefined && Object.hasOwn(preset.services, serviceName)) {
			const service = preset.services[serviceName]!;
			return {team: document.team, preset, service, ranks: preset.ranks};
		}
	}

	return undefined;
}
