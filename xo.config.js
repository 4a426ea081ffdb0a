/** Lint rules: XO's own, with its formatting rules left to Prettier set to XO's style. */
const config = [
	{
		ignores: ['dist/**', 'target/**', 'src/generated/**', 'docs/**'],
	},
	{
		prettier: 'compat',
		rules: {
			// Whole-word names are the house rule; the field's own short words stay.
			'unicorn/prevent-abbreviations': ['error', {allowList: {args: false}}],
			// Typed results and table rows use `undefined`; JSON documents need `null` nowhere.
			'unicorn/no-array-callback-reference': 'off',
			// Type imports are separate so that bundles carry no trace of them.
			'import-x/extensions': 'off',
			'n/file-extension-in-import': 'off',
			// The bundles are CommonJS, which has no top-level await.
			'unicorn/prefer-top-level-await': 'off',
			// The test runner itself waits for its tests.
			'@typescript-eslint/no-floating-promises': [
				'error',
				{
					allowForKnownSafeCalls: [
						{from: 'package', package: 'node:test', name: ['test', 'describe', 'it']},
					],
				},
			],
		},
	},
	{
		files: ['src/relay/**'],
		rules: {
			// The attempts of one call, and the questions to one table, follow each other.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['test/**', 'bench/**', 'stand-ins/**', 'scripts/**', 'demo/**', 'soak/**'],
		rules: {
			'no-await-in-loop': 'off',
			// Tests read the JSON that they have asked for.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// An arrow that pushes or resumes needs no braces in a test.
			'@typescript-eslint/strict-void-return': 'off',
		},
	},
];

export default config;
