/**
 * Reads a YAML document against a schema and finds every fault of it at once, each with its
 * line and a remedy. A document with a fault is refused whole.
 */
import {err, ok, type Result} from 'neverthrow';
import {isMap, isNode, isScalar, LineCounter, parseDocument, type Document} from 'yaml';
import type {z} from 'zod';

/** One fault of a document. */
export type DocumentFault = {
	/** Counted from 1. */
	readonly line: number;
	/** Place in the document, such as `listeners.data`; empty for the whole. */
	readonly place: string;
	/** What is wrong and how to mend it. */
	readonly message: string;
};

type Path = ReadonlyArray<string | number>;

/** A fault at a place in the document, before its line is known. */
export type PlacedFault = {readonly path: Path; readonly message: string};

/**
 * Reads and checks a document.
 *
 * @param text the document in YAML
 * @param schema what the document must look like
 * @param findRuleFaults finds breaches of rules between fields; is given the document as it
 * stands, whether or not it meets the schema, so that all faults are named in one pass
 * @returns the document with its defaults filled in, or every fault by line
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
 * Writes faults for people.
 *
 * @param file name of the document's file
 * @param faults what is wrong in it
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

/** Aliases that expand without bound read as no document at all. */
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

/** Line of the key at the path, or of the nearest key above it that the text has. */
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
