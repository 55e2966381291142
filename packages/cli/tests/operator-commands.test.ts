import {spawn} from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';
import {test} from 'tap';
import {parseAnswers} from '@tanagerrail/configuration';
import {createOperatorClient} from '@tanagerrail/peers';
import {StandInHostList, StandInTable, type TargetGroup} from '@tanagerrail/stand-ins';
import {defaultAnswers} from '../src/commands/ask-answers.js';
import {renderAnswers} from '../src/commands/answers-init.js';
import {startHost, testKey} from './host-fixture.js';

const example = path.resolve(import.meta.dirname, '../../../../examples/vihmavesi.yaml');
const mainScript = path.resolve(import.meta.dirname, '../src/main.js');

async function runCommand(...args: string[]): Promise<{code: number | null; data: Record<string, any>}> {
	const child = spawn(process.execPath, [mainScript, ...args, '--json'], {env: {TANAGERRAIL_ADMIN_KEY: testKey}, stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	child.stdout.on('data', chunk => {
		output += String(chunk);
	});
	return new Promise(resolve => {
		child.once('close', code => {
			resolve({code, data: output === '' ? {} : JSON.parse(output) as Record<string, unknown>});
		});
	});
}

test('commands plan, apply, approve, revert and list changes with a table and three hosts', async t => {
	const table = new StandInTable();
	const hostList = new StandInHostList();
	const {url} = await table.start();
	const urls = {hostList: await hostList.start(), table: url};
	const started = await Promise.all(['a', 'b', 'c'].map(async id => startHost(id, urls)));
	const rows: TargetGroup[] = started.map(({row}) => row);
	t.teardown(async () => {
		await Promise.all(started.map(async ({host}) => host.stop()));
		table.stop();
		hostList.stop();
	});
	hostList.update(rows);
	await waitUntilListed(started[0]!.admin, 3);

	const admin = ['--admin', `127.0.0.1:2,${started[0]!.admin}`];
	t.equal(started[0]!.host.isReady, false, 'a host without a configuration is not ready');
	const first = await runCommand('answers', 'apply', example, ...admin, '--by', 'mari');
	t.match(first, {code: 0, data: {revision: 1, reach: {missing: []}}}, 'the second address is used when the first is unreachable');
	t.ok(started.every(({host}) => host.isReady));

	const edited = path.join(t.testdir(), 'edited.yaml');
	fs.writeFileSync(edited, fs.readFileSync(example, 'utf8').replace('outcomeDays: 90', 'outcomeDays: 60'));
	t.match(await runCommand('answers', 'plan', edited, ...admin), {code: 0, data: {plan: {isRoutine: false, needsApproval: ['outcome-days-keyed']}}});
	t.match(await runCommand('answers', 'apply', edited, ...admin), {code: 5, data: {error: {id: 'approval-required'}}});
	t.match(await runCommand('answers', 'apply', edited, ...admin, '--approve', 'outcome-days-keyed', '--base', '0'), {code: 4, data: {error: {id: 'revision-conflict'}, otherChange: {by: 'mari'}}});
	t.match(await runCommand('answers', 'apply', edited, ...admin, '--approve', 'outcome-days-keyed'), {code: 0, data: {revision: 2}});
	t.match(await runCommand('answers', 'revert', '1', ...admin), {code: 0, data: {revision: 3}});
	t.match(await runCommand('status', ...admin), {code: 0, data: {hosts: [{status: {revision: 3}}, {}, {}]}});
	t.match(await runCommand('answers', 'history', ...admin), {code: 0, data: {history: [{by: 'mari'}, {}, {note: 'back to revision 1'}]}});
	t.match(await runCommand('answers', 'approvals', ...admin), {code: 0, data: {approvals: [{bounds: [{lowest: 60, highest: 90}]}]}});

	// A listed host that does not respond must be reported; otherwise the change would appear to be in force on all hosts.
	hostList.update([...rows, {targets: ['127.0.0.1:2'], labels: {...rows[0]!.labels, id: 'gone', peer: '127.0.0.1:2'}}]);
	await waitUntilListed(started[0]!.admin, 4);
	t.match(await runCommand('answers', 'revert', '2', ...admin), {code: 6, data: {revision: 4, error: {id: 'not-in-force'}, reach: {missing: ['gone']}}});

	const refused = await fetch(`http://${started[0]!.admin}/-/operators/status`);
	t.equal(refused.status, 401, 'an operator call without a key');
	const refusedPeer = await fetch(`http://${started[0]!.peers}/-/control/getConfiguration`, {headers: {'tanagerrail-key': 'wrong'}});
	t.equal(refusedPeer.status, 401, 'a peer call with a wrong key');
});

test('init without a terminal writes a commented file that passes the check', async t => {
	const file = path.join(t.testdir(), 'answers.yaml');
	t.match(await runCommand('answers', 'init', file), {code: 0, data: {problems: []}});
	t.match(fs.readFileSync(file, 'utf8'), /# Which requests belong to which class/v);
	t.match(await runCommand('answers', 'init', file), {code: 2, data: {error: {id: 'usage-invalid'}}}, 'an existing file is not replaced');
	t.ok(parseAnswers(renderAnswers(defaultAnswers)).isOk());
});

test('the exit code is 2 for an invalid command line or a missing file, and 7 for an unreachable host', async t => {
	for (const args of [['answers', 'apply'], ['answers', 'plan', example], ['answers', 'revert', 'x'], ['answers', 'check', example, '--wrong']]) {
		t.match(await runCommand(...args), {code: 2, data: {error: {code: 7004}}}, args.join(' '));
	}

	t.match(await runCommand('answers', 'check', '/missing.yaml'), {code: 2, data: {error: {code: 7002}}});
	t.match(await runCommand('answers', 'history', '--admin', '127.0.0.1:2'), {code: 7, data: {error: {code: 8001}}});
});

async function waitUntilListed(address: string, count: number): Promise<void> {
	const client = createOperatorClient({address, key: testKey});
	for (;;) {
		const hosts = await client.status.query();
		if (hosts.length === count) {
			return;
		}

		await setTimeout(50);
	}
}
