import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/**
 * Modules that stand for whole packages. Code that is not in the bundle need not be loaded when a host starts again, and
 * a host serves nobody until it has started.
 */
const parts = new Map([
	['undici', 'undici.js'],
	['prom-client', 'prom-client.js'],
	['node:http', 'http.cjs'],
	['node:http2', 'http2.cjs'],
	['node:https', 'https.cjs'],
]);

const partsPlugin = {
	name: 'edge-parts',
	setup({onResolve}) {
		onResolve({filter: /^(?:undici|prom-client|node:https?|node:http2)$/}, ({path: name}) => ({path: path.resolve('tools/edge-parts', parts.get(name))}));
	},
};

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
	plugins: [partsPlugin],
	external: ['unix-dgram', 'bufferutil', 'utf-8-validate', 'msgpackr-extract'],
	define: {'import.meta.url': '""'},
	// Identifiers keep their names, so that stack traces can be read.
	minifyWhitespace: true,
	minifySyntax: true,
	logLevel: 'error',
});

/** A snapshot fits only processes with the options that it was built with, so they are those of the deployment. */
const [, options] = /^run = "node (.+) --snapshot-blob/m.exec(fs.readFileSync('deploy/system.toml', 'utf8'));
execFileSync(process.execPath, [...options.split(' '), '--snapshot-blob', 'target/tanagerrail.blob', '--build-snapshot', 'target/tanagerrail.cjs'], {
	// Node.js warns of modules that it has not verified in snapshots; hosts that start from this one are tested.
	stdio: ['ignore', 'inherit', 'ignore'],
});
