import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

fs.mkdirSync('build', {recursive: true});
await build({
	entryPoints: ['packages/cli/dist/src/main.js'],
	outfile: 'build/tanagerrail.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	external: ['unix-dgram', 'bufferutil', 'utf-8-validate', 'msgpackr-extract'],
	define: {'import.meta.url': '""'},
	logLevel: 'error',
});
fs.writeFileSync('build/sea.json', JSON.stringify({
	main: 'build/tanagerrail.cjs', output: 'build/sea.blob', disableExperimentalSEAWarning: true,
}));
execFileSync(process.execPath, ['--experimental-sea-config', 'build/sea.json'], {stdio: ['ignore', 'ignore', 'inherit']});
fs.rmSync('build/tanagerrail', {force: true});
fs.copyFileSync(process.execPath, 'build/tanagerrail');
fs.chmodSync('build/tanagerrail', 0o755);
execFileSync(process.execPath, [
	'node_modules/postject/dist/cli.js', 'build/tanagerrail', 'NODE_SEA_BLOB', 'build/sea.blob', '--sentinel-fuse', sentinelFuse,
], {stdio: ['ignore', 'ignore', 'inherit']});
