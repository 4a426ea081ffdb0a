/**
 * Bundles the programs for the platform into CommonJS files under `target/`, and writes a V8 code
 * cache for `program.cjs` so that a restarted node serves sooner. The cache is valid only in a
 * process with the same flags, so this script must run with the flags of the program.
 */
import {readFileSync, writeFileSync} from 'node:fs';
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

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(program, 'utf8')}\n})`;
const script = new Script(source, {filename: program});
writeFileSync('target/program.cache', script.createCachedData());
