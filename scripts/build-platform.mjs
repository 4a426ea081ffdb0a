/**
 * Bundles the programs for the platform into CommonJS files under `target/`, and writes a V8 code
 * cache for `program.cjs` so that a restarted node serves sooner. The cache is valid only in a
 * process with the same flags, so this script must run with the flags of the program. It also has
 * the functions that a start runs, since the program validates sample settings before it is written.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {Script} from 'node:vm';
import {build} from 'esbuild';

const program = 'target/program.cjs';

await build({
	entryPoints: {program: 'platform/main.ts', foxtailtide: 'src/start.ts'},
	outdir: 'target',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	sourcemap: false,
	legalComments: 'none',
	logLevel: 'warning',
});

const sampleSettings = {
	node: {
		id: 'node',
		region: 'region',
		failureDomain: 'domain',
		linkMegabitsPerSecond: 10,
	},
	server: {service: 'service', address: '127.0.0.1:8080'},
	listeners: {
		callers: '127.0.0.1:9001',
		readiness: '127.0.0.1:9002',
		announcements: '127.0.0.1:9003',
		host: '127.0.0.1',
		peer: 9004,
		gossip: 9005,
		metrics: 9464,
	},
	table: '127.0.0.1:9006',
	stop: {graceMilliseconds: 6000},
	repeats: {ratio: 0.2, slack: 50, windowMilliseconds: 10_000},
};
const sampleFile = 'target/sample.yaml';
// JSON is valid YAML.
writeFileSync(sampleFile, JSON.stringify(sampleSettings));

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(program, 'utf8')}\n})`;
const script = new Script(source, {filename: program});
process.argv = [process.execPath, program, 'check', sampleFile];
const filename = path.resolve(program);
const module = {exports: {}};
const run = script.runInThisContext();
run(module.exports, createRequire(filename), module, filename, path.dirname(filename));
writeFileSync('target/program.cache', script.createCachedData());
