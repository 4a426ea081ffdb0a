/** Bundles the program that the platform runs into one CommonJS file under `target/`. */
import {build} from 'esbuild';

await build({
	entryPoints: {foxtailtide: 'platform/main.ts'},
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
