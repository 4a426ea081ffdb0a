/**
 * Parses a YAML document, validates it against a schema, and reports all its faults at once, each
 * with its line and a remedy. A document with any fault is rejected as a whole.
 */
import {err, ok, type Result} from 'neverthrow';
import {isMap, isNode, isScalar, LineCounter, parseDocument, type Document} from 'yaml';
import type {z} from 'zod';

/** One fault of a document. */
export type DocumentFault = {
	/** Counted from 1. */
	readonly line: number;
	/** Path in the document, such as `listeners.data`; empty for the whole document. */
	readonly place: string;
	/** What is wrong and how to fix it. */
	readonly message: string;
};

type Path = ReadonlyArray<string | number>;

/** A fault with its path in the document, before its line is known. */
export type PlacedFault = {readonly path: Path; readonly message: string};

/**
 * Parses and validates a document.
 *
 * @param text the document in YAML
 * @param schema schema of the document
 * @param findRuleFaults finds violations of rules between fields; receives the parsed document
 * even if it does not match the schema, so that all faults are reported in one pass
 * @returns the document with its defaults filled in, or every fault in order of lines
 */
export function readDocument<Schema extends z.ZodType>(
	text: string,
	schema: Schema,
	findRuleFaults: (value: unknown) => readonly PlacedFault[] = () => [],
): Result<z.infer<Schema>, DocumentFault[]> {
	const lineCounter = new LineCounter();
	const source = parseDocument(text, {lineCounter});
	if (source.errors.length > 0) {
		return err(
			source.errors.map(error => ({
				line: lineCounter.linePos(error.pos[0]).line,
				place: '',
				message: `${firstLine(error.message)}; correct the YAML`,
			})),
		);
	}

	const value = readValue(source);
	const parsed = schema.safeParse(value);
	const ruleFaults = findRuleFaults(value);
	if (parsed.success && ruleFaults.length === 0) {
		return ok(parsed.data);
	}

	const issues = parsed.success ? [] : parsed.error.issues;
	const faults = [...issues.flatMap(issue => describeIssue(issue)), ...ruleFaults];
	return err(
		faults
			.map(({path, message}) => ({
				line: findLine(source, lineCounter, path),
				place: path.join('.'),
				message,
			}))
			.toSorted((left, right) => left.line - right.line),
	);
}

/**
 * Formats faults for the command line.
 *
 * @param file name of the document's file
 * @param faults its faults
 * @returns one line for each fault
 */
export function formatFaults(file: string, faults: readonly DocumentFault[]): string {
	return faults
		.map(
			({line, place, message}) =>
				`${file}:${line}: ${place === '' ? '' : `${place}: `}${message}`,
		)
		.join('\n');
}

/** Returns undefined if the aliases expand beyond the YAML library's limit. */
function readValue(source: Document): unknown {
	try {
		return source.toJS();
	} catch {
		return undefined;
	}
}

function firstLine(text: string): string {
	return text.split('\n')[0] ?? text;
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
		const reasons = issue.issues.map(inner => inner.message);
		return [{path, message: `${reasons.join(' or ')}; correct the name`}];
	}

	if (issue.code === 'invalid_union') {
		const reasons = issue.errors.flat().map(inner => inner.message);
		return [{path, message: `${reasons.join(' or ')}; ${remedy(path)}`}];
	}

	return [{path, message: `${issue.message}; ${remedy(path)}`}];
}

function remedy(path: Path): string {
	return `correct or add ${path.join('.') || 'the document'}`;
}

/** Finds the line of the key at the path, or of its nearest ancestor present in the text. */
function findLine(source: Document, lineCounter: LineCounter, path: Path): number {
	for (let {length} = path; length > 0; length -= 1) {
		const offset = findOffset(source, path.slice(0, length));
		if (offset !== undefined) {
			return lineCounter.linePos(offset).line;
		}
	}

	return 1;
}

function findOffset(source: Document, path: Path): number | undefined {
	const parent: unknown =
		path.length === 1 ? source.contents : source.getIn(path.slice(0, -1), true);
	if (isMap(parent)) {
		const pair = parent.items.find(
			item => isScalar(item.key) && item.key.value === path.at(-1),
		);
		return isNode(pair?.key) ? pair.key.range?.[0] : undefined;
	}

	const node: unknown = source.getIn(path, true);
	return isNode(node) ? node.range?.[0] : undefined;
}
