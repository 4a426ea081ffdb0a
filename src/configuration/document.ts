/**
 * Reads a team's configuration document from YAML. Every fault is found at once, each with its
 * line and a remedy; a document with a fault is refused whole.
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
 * Reads and checks a document.
 *
 * @param text the document in YAML
 * @returns the document with its defaults filled in, or every fault of it, by line
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
 * Sets the preset in force and leaves the rest of the text, comments included, as it stands.
 *
 * @param text a document without faults
 * @param presetName the preset to put in force
 */
export function setPresetInForce(text: string, presetName: string): string {
	const source = parseDocument(text);
	source.set('inForce', presetName);
	return source.toString({lineWidth: 0});
}

/** A service's policy with the preset and the team it stands in. */
export type ResolvedServicePolicy = {
	readonly team: string;
	readonly preset: Preset;
	readonly service: ServicePolicy;
	/** Most urgent first. */
	readonly ranks: readonly RankPolicy[];
};

/**
 * Finds the policy in force for a service.
 *
 * @param documents the documents in force, one per team; the first that names the service wins
 * @param serviceName name of the service
 * @returns the policy, or `undefined` when no document in force names the service
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
