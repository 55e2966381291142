import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

/** Bundles the program from its sources, so that a deployment needs neither the type check nor the tests. */
fs.rmSync('target/tanagerrail.cjs.cache', {force: true});
fs.mkdirSync('target', {recursive: true});
await build({
	entryPoints: ['packages/cli/src/edge-main.ts'],
	outfile: 'target/tanagerrail.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	conditions: ['source'],
	external: ['unix-dgram', 'bufferutil', 'utf-8-validate', 'msgpackr-extract'],
	define: {'import.meta.url': '""'},
	// Identifiers keep their names, so that stack traces can be read.
	minifyWhitespace: true,
	minifySyntax: true,
	logLevel: 'error',
});
execFileSync(process.execPath, ['--max-old-space-size=200', 'deploy/start-edge.cjs', '--help'], {
	stdio: 'ignore', env: {...process.env, TANAGERRAIL_WRITE_CACHE: '1'},
});
