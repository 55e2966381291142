import functionVerb from './tools/lint/function-verb.js';
import packageImports from './tools/lint/package-imports.js';

const tanagerrail = {rules: {'function-verb': functionVerb, 'package-imports': packageImports}};

export default [
	{ignores: ['**/dist/**', 'build/**', 'target/**', 'journal/**', '**/*.d.ts', 'docs/**']},
	{prettier: false, semicolon: true},
	{
		files: ['packages/**/*.ts', 'platform/**/*.ts'],
		plugins: {tanagerrail},
		rules: {
			'tanagerrail/function-verb': 'error',
			'tanagerrail/package-imports': 'error',
			// Names of fixed wire fields (DynamoDB, S3, HTTP headers) follow their own protocols.
			'@typescript-eslint/naming-convention': 'off',
			// A loop over one connection or one peer awaits each step in turn by design.
			'no-await-in-loop': 'off',
			// Names that readers of Node.js code expect are kept short.
			'unicorn/prevent-abbreviations': ['error', {
				allowList: {
					env: true, args: true, dir: true, req: true, res: true, params: true, ctx: true, fn: true, i: true, j: true, ms: true,
				},
			}],
			// `undefined` and `null` are both used by the codecs and by Node.js itself.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// Node.js 20 is the target; these rules ask for newer syntax or runtime.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-process-exit': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			'capitalized-comments': 'off',
			// A constant object and its type share one name; the project uses them in place of enums.
			'@typescript-eslint/no-redeclare': 'off',
			complexity: ['error', 20],
			'max-params': ['error', 4],
			'max-lines': ['error', {max: 300, skipBlankLines: true, skipComments: true}],
		},
	},
	{
		files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
		rules: {
			// Tests use the test runner and stand-ins of the workspace root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// The test runner collects the promise of each test itself.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
	{
		// The single binary is a CommonJS bundle, which has no top-level await.
		files: ['packages/cli/src/main.ts'],
		rules: {'unicorn/prefer-top-level-await': 'off'},
	},
	{
		files: ['tools/**/*.{js,mjs}'],
		rules: {
			'unicorn/prevent-abbreviations': 'off',
			'n/prefer-global/process': 'off',
			'no-await-in-loop': 'off',
			'unicorn/no-process-exit': 'off',
			// The filters of esbuild are regular expressions in the syntax of Go, which has no `u` or `v` flag.
			'require-unicode-regexp': 'off',
		},
	},
];
