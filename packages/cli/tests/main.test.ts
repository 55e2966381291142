import {spawn} from 'node:child_process';
import {once} from 'node:events';
import fs from 'node:fs';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {test, type Test} from 'tap';
import {request} from 'undici';
import {StandInHostList} from '@tanagerrail/stand-ins';

const mainScript = path.resolve(import.meta.dirname, '../src/main.js');
const key = 'admin-key-0123456789';

type LogLine = Readonly<Record<string, unknown>>;

function startProgram(t: Test, args: readonly string[]) {
	const child = spawn(process.execPath, [mainScript, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
	let errors = '';
	child.stderr.on('data', chunk => {
		errors += String(chunk);
	});
	t.teardown(() => child.kill('SIGKILL'));
	const listLines = () => errors.split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as LogLine);
	return {
		child,
		getErrors: () => errors,
		async waitForLine(matches: (line: LogLine) => boolean): Promise<LogLine> {
			for (;;) {
				const found = listLines().find(matches);
				if (found) {
					return found;
				}

				if (child.exitCode !== null) {
					throw new Error(`the process ended: ${errors}`);
				}

				await wait(10);
			}
		},
		async waitForExit(): Promise<number | undefined> {
			if (child.exitCode === null) {
				await once(child, 'exit');
			}

			return child.exitCode ?? undefined;
		},
	};
}

function buildSettings(url: string, filter: string): string {
	return JSON.stringify({
		host: {id: 'a', failureDomain: 'x'},
		listen: {callers: {port: 0}, peers: {port: 0}, admin: {port: 0}},
		keys: {peers: [key], admin: [key]},
		platform: {hostList: {url}},
		log: {filter},
		shutdown: {lameDuckMilliseconds: 0},
	});
}

test('SIGHUP and an authenticated call change the log filter at run time, and an invalid file does not', async t => {
	const hostList = new StandInHostList();
	const url = await hostList.start();
	t.teardown(() => {
		hostList.stop();
	});
	const file = path.join(t.testdir({}), 'settings.yaml');
	fs.writeFileSync(file, buildSettings(url, 'tanagerrail:*:info,tanagerrail:*:error'));
	const host = startProgram(t, ['entry', '--settings', file]);
	const {admin} = await host.waitForLine(({event}) => event === 'host-started');
	fs.writeFileSync(file, buildSettings(url, 'tanagerrail:host:*'));
	host.child.kill('SIGHUP');
	await host.waitForLine(({event, filter}) => event === 'log-filter-changed' && filter === 'tanagerrail:host:*');
	fs.writeFileSync(file, buildSettings('no URL', ''));
	host.child.kill('SIGHUP');
	t.match(await host.waitForLine(({event}) => event === 'settings-not-reloaded'), {code: 7001, detail: /platform\.hostList\.url/v});
	const cases: Array<[Record<string, string>, string, number]> = [
		[{}, 'tanagerrail:*', 401],
		[{'tanagerrail-key': key}, 'a\nb', 400],
		[{'tanagerrail-key': key}, 'tanagerrail:host:info', 204],
	];
	for (const [headers, filter, expected] of cases) {
		const {statusCode, body} = await request(`http://127.0.0.1:${String(admin)}/-/log-filter`, {method: 'POST', headers, body: filter});
		await body.dump();
		t.equal(statusCode, expected);
	}

	await host.waitForLine(({event, filter}) => event === 'log-filter-changed' && filter === 'tanagerrail:host:info');
	host.child.kill('SIGTERM');
	t.equal(await host.waitForExit(), 0);
});

test('the program does not start with an invalid settings file, and commands fail with a numbered code', async t => {
	const settings = buildSettings('http://127.0.0.1:1/', '');
	const directory = t.testdir({'good.yaml': settings, 'settings.yaml': settings.replace('"admin":{"port":0}', '"admn":{"port":0}')});
	const file = path.join(directory, 'settings.yaml');
	const good = path.join(directory, 'good.yaml');
	const cases: Array<[string[], RegExp]> = [
		[['entry', '--settings', file], /^7001 .*settings\.yaml:1: listen\.admin: found nothing[\s\S]*7003 .*listen\.admn is not a known field; the nearest is admin\./v],
		[['entry'], /^7004 /v],
		[['report', '--settings', good], /host-list-unavailable, code 6007/v],
	];
	for (const [args, expected] of cases) {
		const {waitForExit, getErrors} = startProgram(t, args);
		t.equal(await waitForExit(), 1, args.join(' '));
		t.match(getErrors(), expected);
	}
});
