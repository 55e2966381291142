import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/**
 * Replacements for whole packages, by module name. They keep unused code out of the bundle and so shorten the start of a
 * host, which serves no requests until it has started.
 */
const replacements = new Map([
	['undici', 'undici.js'],
	['prom-client', 'prom-client.js'],
	['node:http', 'http.cjs'],
	['node:http2', 'http2.cjs'],
	['node:https', 'https.cjs'],
]);

const replacementPlugin = {
	name: 'edge-parts',
	setup({onResolve}) {
		onResolve({filter: /^(?:undici|prom-client|node:https?|node:http2)$/}, ({path: name}) => ({path: path.resolve('tools/edge-parts', replacements.get(name))}));
	},
};

// The bundle is built from the TypeScript sources, so a deployment does not have to compile the project first.
fs.mkdirSync('target', {recursive: true});
await build({
	entryPoints: ['packages/cli/src/edge-main.ts'],
	outfile: 'target/tanagerrail.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	conditions: ['source'],
	plugins: [replacementPlugin],
	external: ['unix-dgram', 'bufferutil', 'utf-8-validate', 'msgpackr-extract'],
	define: {'import.meta.url': '""'},
	// Identifiers are not minified, so that stack traces stay readable.
	minifyWhitespace: true,
	minifySyntax: true,
	logLevel: 'error',
});

// Node.js loads a startup snapshot only with the options it was built with, so the options of the deployment are used.
const [, options] = /^run = "node (.+) --snapshot-blob/m.exec(fs.readFileSync('deploy/system.toml', 'utf8'));
execFileSync(process.execPath, [...options.split(' '), '--snapshot-blob', 'target/tanagerrail.blob', '--build-snapshot', 'target/tanagerrail.cjs'], {
	// Discards the warning about modules that are not verified for snapshots; tests start hosts from this snapshot.
	stdio: ['ignore', 'inherit', 'ignore'],
});
