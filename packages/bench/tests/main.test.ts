import {spawnSync} from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {test} from 'tap';

const script = path.resolve(import.meta.dirname, '../src/main.js');

test('a shortened run writes every target and a plot, and the exit code shows whether all are met', async t => {
	const directory = t.testdir({});
	const json = path.join(directory, 'report.json');
	const plot = path.join(directory, 'plot.svg');
	const {status} = spawnSync(process.execPath, [script, 'overhead', '--quick', '--seed', '3', '--json', json, '--plot', plot]);
	const {targets} = JSON.parse(fs.readFileSync(json, 'utf8')) as {targets: Array<{name: string; target: string; measured: number; met: boolean}>};
	t.equal(status, targets.every(({met}) => met) ? 0 : 1);
	t.same(targets.map(target => Object.keys(target)), Array.from({length: 3}, () => ['name', 'target', 'measured', 'met']));
	t.ok(targets.every(({measured}) => Number.isFinite(measured)), 'every target was measured');
	t.match(fs.readFileSync(plot, 'utf8'), /^<svg/v);
});

test('an unknown experiment is an error', async t => {
	const {status, stderr} = spawnSync(process.execPath, [script, 'unknown'], {encoding: 'utf8'});
	t.equal(status, 1);
	t.match(stderr, /unknown experiment unknown, expected one of tail/v);
});
