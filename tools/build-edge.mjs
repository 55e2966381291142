import fs from 'node:fs';
import {build} from 'esbuild';

/** Bundles the program from its sources, so that a deployment needs neither the type check nor the tests. */
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
	minify: true,
	keepNames: true,
	logLevel: 'error',
});
