/**
 * Reads a team's configuration document from YAML. Every fault is found at once, each with its
 * line and a remedy; a document with a fault is refused whole.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {isMap, isScalar, LineCounter, parseDocument, type Document} from 'yaml';
import type {z} from 'zod';
import {findRuleFaults, type PlacedFault} from './rules.js';
import {
	documentSchema,
	type ConfigurationDocument,
	type Preset,
	type RankPolicy,
	type ServicePolicy,
} from './schema.js';

const maximumDocumentBytes = 524_288;

/** One fault of a document, with its line counted from 1 and a message that names the remedy. */
export type DocumentFault = {
	readonly line: number;
	/** Place in the document, such as `presets.ordinary.ranks.0.name`; empty for the whole. */
	readonly place: string;
	readonly message: string;
};

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

	const lineCounter = new LineCounter();
	const source = parseDocument(text, {lineCounter});
	if (source.errors.length > 0) {
		return err(source.errors.map(error => describeSyntaxFault(error, lineCounter)));
	}

	const value = readValue(source);
	if (value.isErr()) {
		return err([{line: 1, place: '', message: value.error}]);
	}

	return check(value.value, fault => locate(source, lineCounter, fault));
}

/**
 * Sets the preset in force and leaves the rest of the text, comments included, as it stands.
 *
 * @param text a document without faults
 * @param presetName the preset to put in force
 */
export function replaceInForce(text: string, presetName: string): string {
	const source = parseDocument(text);
	source.set('inForce', presetName);
	return source.toString({lineWidth: 0});
}

/** A service's policy with the preset and the team it stands in. */
export type FoundService = {
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
export function findService(
	documents: Iterable<ConfigurationDocument>,
	serviceName: string,
): FoundService | undefined {
	for (const document of documents) {
		const preset = document.presets[document.inForce];
		if (preset !== undefined && Object.hasOwn(preset.services, serviceName)) {
			const service = preset.services[serviceName]!;
			return {team: document.team, preset, service, ranks: preset.ranks};
		}
	}

	return undefined;
}

function readValue(source: Document): Result<unknown, string> {
	try {
		return ok(source.toJS());
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return err(`${reason}; write the values out instead of aliases`);
	}
}

function check(
	value: unknown,
	toFault: (fault: PlacedFault) => DocumentFault,
): Result<ConfigurationDocument, DocumentFault[]> {
	const parsed = documentSchema.safeParse(value);
	const schemaFaults = parsed.success ? [] : parsed.error.issues.flatMap(describeIssue);
	const faults = [...schemaFaults, ...findRuleFaults(value)].map(toFault);
	if (parsed.success && faults.length === 0) {
		return ok(parsed.data);
	}

	return err(faults.toSorted((left, right) => left.line - right.line));
}

function describeIssue(issue: z.core.$ZodIssue): PlacedFault[] {
	const path = issue.path.filter(part => typeof part !== 'symbol');
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => ({
			path: [...path, key],
			message: `unknown key ${key}; remove it or correct its name`,
		}));
	}

	if (issue.code === 'invalid_key') {
		const reasons = issue.issues.map(inner => inner.message).join(', ');
		return [{path, message: `invalid name ${String(path.at(-1))}; ${reasons}`}];
	}

	return [
		{
			path,
			message: `${issue.message}; correct or add ${path.join('.') || 'the document'}`,
		},
	];
}

function describeSyntaxFault(
	error: {readonly pos: [number, number]; readonly message: string},
	lineCounter: LineCounter,
): DocumentFault {
	const message = error.message.split('\n')[0] ?? error.message;
	const {line} = lineCounter.linePos(error.pos[0]);
	return {line, place: '', message: `${message}; correct the YAML`};
}

function locate(
	source: Document,
	lineCounter: LineCounter,
	fault: PlacedFault,
): DocumentFault {
	const offset = findOffset(source, fault.path);
	const {line} = lineCounter.linePos(offset);
	return {line: Math.max(1, line), place: fault.path.join('.'), message: fault.message};
}

/** Offset of the key at the path, or of the nearest key above it that the text has. */
function findOffset(source: Document, path: ReadonlyArray<string | number>): number {
	for (let {length} = path; length > 0; length -= 1) {
		const parent: unknown = source.getIn(path.slice(0, length - 1), true);
		const last = path[length - 1];
		const pair = isMap(parent)
			? parent.items.find(item => isScalar(item.key) && item.key.value === last)
			: undefined;
		const node: unknown = pair?.key ?? source.getIn(path.slice(0, length), true);
		if (hasRange(node)) {
			return node.range[0];
		}
	}

	return 0;
}

function hasRange(node: unknown): node is {range: [number, number, number]} {
	return (
		typeof node === 'object' &&
		node !== null &&
		'range' in node &&
		Array.isArray(node.range)
	);
}
