/**
 * Bundles the program, the demo, the stand-ins and the baseline proxy under `dist/`. Each entry
 * becomes one CommonJS file that runs without `node_modules`.
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
	// The command library imports it only for plugins written in TypeScript; there are none.
	external: ['typescript'],
	// The bundle resolves no modules at run time, and in a single executable the attempt warns.
	define: {'require.resolve': 'undefined', 'require.main': 'undefined'},
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	sourcemap: false,
	legalComments: 'none',
	logLevel: 'warning',
});
