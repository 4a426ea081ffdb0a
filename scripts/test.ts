/**
 * Runs the tests and prints the counts that the build service reads. Failures of tests listed in
 * `KNOWN-RED.txt` are printed but do not fail the run; any other failure does.
 *
 * Arguments select the test files whose path below `test/` contains one of them; without arguments,
 * all tests run.
 */
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';

const testFileSuffix = '.test.ts';
const testTimeoutMilliseconds = 600_000;
const maximumConcurrentFiles = 4;
const root = path.resolve(import.meta.dirname, '..');

function listTestFiles(filters: readonly string[]): string[] {
	const names = readdirSync(path.join(root, 'test'), {recursive: true, encoding: 'utf8'});
	return names
		.filter(name => name.endsWith(testFileSuffix))
		.filter(name => filters.length === 0 || filters.some(filter => name.includes(filter)))
		.map(name => path.join(root, 'test', name))
		.toSorted();
}

/** Reads the names of the tests that are known to fail from the lines `test: NAME`. */
function readKnownFailingTests(): Set<string> {
	const file = path.join(root, 'KNOWN-RED.txt');
	if (!existsSync(file)) {
		return new Set();
	}

	const lines = readFileSync(file, 'utf8').split('\n');
	const prefix = 'test:';
	return new Set(
		lines
			.filter(line => line.startsWith(prefix))
			.map(line => line.slice(prefix.length).trim()),
	);
}

type Failure = {
	readonly name: string;
	readonly file: string | undefined;
	readonly cause: unknown;
};

const filters = process.argv.slice(2);
const files = listTestFiles(filters);
const knownFailingTests = readKnownFailingTests();
const failures: Failure[] = [];
const knownFailures: Failure[] = [];
let passed = 0;

const stream = run({
	files,
	concurrency: maximumConcurrentFiles,
	timeout: testTimeoutMilliseconds,
});

stream.on('test:pass', event => {
	if (event.details.type === 'suite' || files.includes(event.name)) {
		return;
	}

	passed += 1;
	console.log(`ok ${event.name} (${Math.round(event.details.duration_ms)} ms)`);
});

stream.on('test:fail', event => {
	const cause: unknown = event.details.error.cause ?? event.details.error;
	const isSubtestSummary =
		cause instanceof Error
			? cause.message.includes('subtest')
			: String(cause).includes('subtest');
	if (isSubtestSummary) {
		return;
	}

	const failure = {name: event.name, file: event.file, cause};
	if (knownFailingTests.has(event.name)) {
		knownFailures.push(failure);
		return;
	}

	failures.push(failure);
	console.log(`not ok ${event.name}`);
});

stream.on('test:stdout', event => {
	process.stdout.write(event.message);
});

stream.on('test:stderr', event => {
	process.stderr.write(event.message);
});

stream.on('end', () => {
	for (const failure of failures) {
		console.log(`\nfailed: ${failure.name} (${failure.file ?? 'no file'})`);
		console.log(failure.cause);
	}

	for (const failure of knownFailures) {
		console.log(`known red: ${failure.name} (see KNOWN-RED.txt)`);
		console.log(failure.cause);
	}

	console.log(`${passed} passed, ${failures.length} failed`);
	process.exitCode = failures.length > 0 || passed === 0 ? 1 : 0;
});

stream.resume();
