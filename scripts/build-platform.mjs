/**
 * Bundles the program that the platform runs into one CommonJS file under `target/`, with the
 * compiled code that Node.js can keep beside it, so that a restarted node serves sooner. The
 * compiled code fits only a process with the same flags, so this script runs with the program's.
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
