import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as wait} from 'node:timers/promises';
import {test, type Test} from 'tap';
import {defaultServiceConfiguration, type Configuration} from '@tanagerrail/configuration';
import {
	durationHeader, StandInEndpoint, StandInHostList, StandInObjectStore, StandInTable, type TargetGroup,
} from '@tanagerrail/stand-ins';

const configuration: Configuration = {
	revision: 1,
	measuring: {probesPerSecond: 0, bytesPerSecond: 0},
	tableWritesPerSecond: 300,
	services: [{
		...defaultServiceConfiguration,
		name: 'payments',
		workClasses: [{
			name: 'grant', kind: 'short', priority: 'normal', usualMilliseconds: 10, longestMilliseconds: 1000, deadlineMilliseconds: 3000, hedge: false,
		}],
		routes: [{
			method: 'POST', path: '/grants', workClass: 'grant', idempotent: false,
		}],
	}],
};

type StartedHost = {readonly process: ChildProcess; readonly callers: number; readonly peers: number; readonly admin: number};

/** Starts an entry host as a process and waits until it logs its ports. */
async function startHost(directory: string, id: string, urls: Record<string, string>): Promise<StartedHost> {
	const file = path.join(directory, `${id}.json`);
	const listen = {port: 0};
	writeFileSync(file, JSON.stringify({
		host: {id, failureDomain: 'z1'},
		listen: {callers: listen, peers: listen, admin: listen},
		keys: {peers: ['0123456789abcdef'], admin: ['0123456789abcdef']},
		platform: {hostList: {url: urls.list}, table: {url: urls.table}, objects: {url: urls.objects}},
		shutdown: {lameDuckMilliseconds: 0},
		initialConfigurationFile: path.join(directory, 'configuration.json'),
	}));
	const child = spawn(process.execPath, ['packages/cli/dist/src/main.js', 'entry', '--settings', file], {stdio: ['ignore', 'ignore', 'pipe']});
	for await (const line of createInterface({input: child.stderr})) {
		const entry = JSON.parse(line) as StartedHost & {event: string};
		if (entry.event === 'host-started') {
			child.stderr.resume();
			return {...entry, process: child};
		}
	}

	throw new Error('The host did not start.');
}

async function startPlatform(t: Test) {
	const [endpoint, list, table, objects] = [new StandInEndpoint(), new StandInHostList(), new StandInTable(), new StandInObjectStore()];
	const directory = mkdtempSync(path.join(tmpdir(), 'tanagerrail-'));
	writeFileSync(path.join(directory, 'configuration.json'), JSON.stringify(configuration));
	const [port, listUrl, tableUrls, objectsUrls] = await Promise.all([endpoint.start(), list.start(), table.start(), objects.start()]);
	const urls = {list: listUrl, table: tableUrls.url, objects: objectsUrls.url};
	const hosts = await Promise.all(['a', 'b'].map(async id => startHost(directory, id, urls)));
	list.update([
		{
			targets: [`127.0.0.1:${port}`],
			labels: {
				role: 'endpoint', id: 'e1', state: 'live', failure_domain: 'z1', service: 'payments',
			},
		},
		...hosts.map(({callers, peers}, index): TargetGroup => ({
			targets: [`127.0.0.1:${callers}`],
			labels: {
				role: 'entry', id: index === 0 ? 'a' : 'b', state: 'live', failure_domain: 'z1', peer: `127.0.0.1:${peers}`,
			},
		})),
	]);
	t.teardown(() => {
		for (const host of hosts) {
			host.process.kill('SIGKILL');
		}

		for (const standIn of [endpoint, list, table, objects]) {
			standIn.stop();
		}

		rmSync(directory, {recursive: true});
	});
	return {
		endpoint, table, hosts: hosts as [StartedHost, StartedHost],
	};
}

async function send({callers}: StartedHost, key: string, milliseconds: number): Promise<string> {
	const response = await fetch(`http://127.0.0.1:${callers}/grants`, {
		method: 'POST', body: 'amount=1', headers: {'idempotency-key': key, [durationHeader]: String(milliseconds), 'request-timeout': '1500'},
	});
	return `${response.status} ${response.headers.get('tanagerrail-outcome') ?? await response.text()}`;
}

/** Sends requests until one succeeds, that is, until the host has read the host list. */
async function waitUntilServing(host: StartedHost): Promise<string> {
	let sent = '';
	for (let i = 0; i < 50 && sent !== '200 ok'; i += 1) {
		sent = await send(host, `first-${i}`, 0);
		await wait(100);
	}

	return sent;
}

test('a host killed between claim and outcome leaves the outcome unknown, and the request never runs again', async t => {
	const {endpoint, table, hosts: [a, b]} = await startPlatform(t);
	t.equal(await waitUntilServing(a), '200 ok');
	const before = endpoint.startedCount;
	const {writes} = table.counts;
	const lost = send(a, 'k1', 300);
	while (endpoint.startedCount === before) {
		await wait(5);
	}

	a.process.kill('SIGKILL');
	await t.rejects(lost);
	t.equal(await send(b, 'k1', 300), '504 unknown');
	t.equal(endpoint.startedCount, before + 1);
	t.equal(await send(b, 'k2', 0), '200 ok', 'requests with other keys run');
	t.equal(table.counts.writes - writes, 3, 'one write for the claim of the killed host, and two for the other key');
});

test('a host that shuts down waits for the table and writes the outcomes that the table has refused before', async t => {
	const {endpoint, table, hosts: [a, b]} = await startPlatform(t);
	t.equal(await waitUntilServing(a), '200 ok');
	const before = endpoint.startedCount;
	const running = send(a, 'k1', 200);
	while (endpoint.startedCount === before) {
		await wait(5);
	}

	await table.update({down: 'refused'});
	t.equal(await running, '200 ok', 'the caller gets its response while the table is unavailable');
	a.process.kill('SIGTERM');
	await wait(300);
	t.equal(a.process.exitCode, null, 'the host waits until the table is available');
	await table.update({down: 'none'});
	t.equal(await send(b, 'k1', 200), '200 ok');
	t.equal(endpoint.startedCount, before + 1);
});
