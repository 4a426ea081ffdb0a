/** Tests the command line as a process: its output and its exit codes. */
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {expect} from 'earl';
import {z} from 'zod';
import {exitCodes, product} from '../../src/command/index.js';

const root = path.resolve(import.meta.dirname, '../..');
const directory = mkdtempSync(path.join(tmpdir(), 'foxtailtide-'));
const packageSchema = z.object({name: z.string(), version: z.string()});

function runProgram(...parameters: string[]) {
	const program = path.join(root, 'dist/foxtailtide.cjs');
	return spawnSync(process.execPath, [program, ...parameters], {
		encoding: 'utf8',
		cwd: root,
	});
}

function write(name: string, text: string): string {
	const file = path.join(directory, name);
	writeFileSync(file, text);
	return file;
}

const invalidSettings = write('bad.yaml', 'node: {id: x}\nlisteners: {data: -1}\n');
const nonLoopbackExperiment = write(
	'distant.yaml',
	'name: far\nseed: 1\ndurationSeconds: 1\ntargets: ["192.0.2.1:80"]\nstreams: [{name: a, service: a, ratePerSecond: 1}]\n',
);
const configuration = 'examples/darkrooms/configuration.yaml';

const cases: ReadonlyArray<{
	readonly parameters: readonly string[];
	readonly code: number;
	readonly shown: readonly string[];
}> = [
	{parameters: ['version'], code: exitCodes.done, shown: [product.version]},
	{
		parameters: ['version', '--json'],
		code: exitCodes.done,
		shown: ['"version": "0.1.0"'],
	},
	{
		parameters: ['--help'],
		code: exitCodes.done,
		shown: ['check', 'load', 'node', 'version'],
	},
	{parameters: ['load', '--help'], code: exitCodes.done, shown: ['EXAMPLES', '--seed']},
	{parameters: ['unheard-of'], code: exitCodes.badInput, shown: ['not found']},
	{parameters: ['check', configuration], code: exitCodes.done, shown: ['without faults']},
	{
		parameters: ['check', configuration, invalidSettings],
		code: exitCodes.badInput,
		shown: ['without faults', 'bad.yaml:1: node.host', 'bad.yaml:2: listeners.data'],
	},
	{
		parameters: ['check', '--json', invalidSettings],
		code: exitCodes.badInput,
		shown: ['"line": 2'],
	},
	{
		parameters: ['check', 'missing.yaml'],
		code: exitCodes.badInput,
		shown: ['check the path'],
	},
	{
		parameters: ['node', '--settings', invalidSettings],
		code: exitCodes.badInput,
		shown: ['listeners.data'],
	},
	{
		parameters: ['load', nonLoopbackExperiment],
		code: exitCodes.badInput,
		shown: ['beyond loopback'],
	},
	{parameters: ['load', invalidSettings], code: exitCodes.badInput, shown: ['streams']},
];

for (const {parameters, code, shown} of cases) {
	const command = parameters.map(parameter => path.basename(parameter)).join(' ');
	test(`foxtailtide ${command} exits with ${code}`, () => {
		const {status, stdout, stderr} = runProgram(...parameters);
		expect(status).toEqual(code);
		for (const text of shown) {
			expect(stdout + stderr).toInclude(text);
		}
	});
}

test('name and version match package.json', () => {
	const text = readFileSync(path.join(root, 'package.json'), 'utf8');
	const {name, version} = packageSchema.parse(JSON.parse(text));
	expect({name, version}).toEqual({...product});
});
