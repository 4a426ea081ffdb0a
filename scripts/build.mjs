/**
 * Bundles the program and its stand-ins into single CommonJS files under `dist/`.
 * Each entry becomes one file, so that a process loads without a package tree.
 */
import {build} from 'esbuild';

const entries = {
	demo: 'demo/main.ts',
	foxtailtide: 'src/main.ts',
	'plain-relay': 'bench/plain-relay.ts',
	relay: 'platform/main.ts',
	'stand-in-server': 'stand-ins/server/main.ts',
	'stand-in-table': 'stand-ins/table/main.ts',
};

await build({
	entryPoints: entries,
	outdir: 'dist',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	// The command library would load it for plugins in TypeScript, of which there are none.
	external: ['typescript'],
	// Nothing is looked up beside the bundle, and a single executable warns of the attempt.
	define: {'require.resolve': 'undefined', 'require.main': 'undefined'},
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	sourcemap: false,
	legalComments: 'none',
	logLevel: 'warning',
});
