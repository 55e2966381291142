import {setTimeout as wait} from 'node:timers/promises';
import {test, type Test} from 'tap';
import {request} from 'undici';
import {type Configuration, defaultServiceConfiguration} from '@tanagerrail/configuration';
import {operatorControlPath} from '@tanagerrail/peers';
import {StandInEndpoint, StandInHostList, StandInObjectStore} from '@tanagerrail/stand-ins';
import {EntryHost} from '../src/entry-host.js';
import {collectLevels, createOperatorSources, createPlatformSources} from '../src/report/collect-levels.js';
import {renderReportHtml} from '../src/report/render-report-html.js';
import {renderReportText} from '../src/report/render-report-text.js';
import {settingsSchema} from '../src/settings.js';

const key = 'admin-key-0123456789';
const configuration: Configuration = {
	revision: 1,
	measuring: {probesPerSecond: 5, bytesPerSecond: 8192},
	tableWritesPerSecond: 100,
	services: [{
		...defaultServiceConfiguration,
		name: 'status',
		workClasses: [{
			name: '<read>', kind: 'short', priority: 'interactive', usualMilliseconds: 5, longestMilliseconds: 500, deadlineMilliseconds: 1000, hedge: false,
		}],
		routes: [{
			method: 'GET', path: '/**', workClass: '<read>', idempotent: true,
		}, {
			method: 'POST', path: '/**', workClass: '<read>', idempotent: false,
		}],
		serviceLevels: [{
			workClass: '<read>', latencyMilliseconds: 900, objective: 0.9, windowDays: 30,
		}],
	}],
};

async function startHosts(t: Test, ids: readonly string[]) {
	const [endpoint, hostList, objects] = [new StandInEndpoint(), new StandInHostList(), new StandInObjectStore()];
	const [port, listUrl, {url}] = [await endpoint.start(), await hostList.start(), await objects.start()];
	const rows = [{
		targets: [`127.0.0.1:${port}`], labels: {
			role: 'endpoint', id: 'e', state: 'live', failure_domain: 'x', service: 'status',
		},
	}];
	hostList.update(rows);
	const hosts = await Promise.all(ids.map(async id => {
		const settings = settingsSchema.parse({
			host: {id, failureDomain: 'x'},
			listen: {callers: {port: 0}, peers: {port: 0}, admin: {port: 0}},
			keys: {peers: [key], admin: [key, `${key}-new`]},
			platform: {hostList: {url: listUrl}, objects: {url}},
			log: {filter: ''},
			shutdown: {lameDuckMilliseconds: 0},
		});
		const host = new EntryHost(settings, configuration);
		return {
			id, host, settings, ports: await host.start(),
		};
	}));
	t.teardown(async () => {
		await Promise.all(hosts.map(async ({host}) => host.stop()));
		endpoint.stop();
		hostList.stop();
		objects.stop();
	});
	hostList.update([...rows, ...[...hosts.map(({id, ports}) => ({id, admin: ports.admin})), {id: 'dead', admin: 1}].map(({id, admin}) => ({
		targets: ['127.0.0.1:1'], labels: {
			role: 'entry', id, state: 'live', failure_domain: 'x', admin: `127.0.0.1:${admin}`,
		},
	}))]);
	return {hosts, objects};
}

test('a report merges live and stopped hosts, lists missing ones and is still built when the object store is unavailable', async t => {
	const {hosts, objects} = await startHosts(t, ['a', 'b']);
	const [first, second] = [hosts[0]!, hosts[1]!];
	for (const {ports} of [first, second, second]) {
		const {statusCode, body} = await request(`http://127.0.0.1:${ports.callers}/x`);
		await body.dump();
		t.equal(statusCode, 200);
	}

	const refused = await request(`http://127.0.0.1:${first.ports.callers}/x`, {method: 'POST'});
	await refused.body.dump();
	await second.host.stop();
	const collected = await collectLevels(createPlatformSources(first.settings));
	const levels = collected._unsafeUnwrap();
	const [workClass] = levels.report.services[0]!.classes;
	t.match(workClass, {
		good: 3, bad: 0, excluded: 1, refused: [{code: 4001, id: 'key-required', count: 1}],
	});
	t.same(levels.report.missing.map(({hostId}) => hostId).sort(), ['b', 'dead']);
	t.equal(workClass!.verdict, 'unknown');
	const text = renderReportText(levels);
	t.match(text, /MISSING dead/v);
	const page = renderReportHtml(levels);
	t.notMatch(page, /<read>|<script|https?:|<link/v, 'the page loads no external resources and names are escaped');
	t.match(page, /<svg[\s\S]*refused/v);

	const sources = createOperatorSources({addresses: ['127.0.0.1:1', `127.0.0.1:${first.ports.admin}`], key});
	let listed: string[] = [];
	while (!listed.includes('dead')) {
		await wait(20);
		const hosts = await sources.listHosts();
		listed = hosts._unsafeUnwrap().map(({id}) => id);
	}

	const collectedByHost = await collectLevels(sources);
	t.match(collectedByHost._unsafeUnwrap().report.services[0]!.classes[0], {good: 3, excluded: 1}, 'a host returns the snapshots of the object store');

	await objects.update({down: 'unavailable'});
	const partial = await collectLevels(createPlatformSources(first.settings));
	t.match(partial._unsafeUnwrap().warnings.join('\n'), /object store/v);
	t.equal(partial._unsafeUnwrap().report.services[0]!.classes[0]!.good, 1, 'only the counts of live hosts are included');
});

test('fetching the counts of a host requires a valid key; both keys are valid during a rotation', async t => {
	const {hosts} = await startHosts(t, ['a']);
	const url = `http://127.0.0.1:${hosts[0]!.ports.admin}${operatorControlPath}levels`;
	const cases: Array<[Record<string, string>, number]> = [[{}, 401], [{'tanagerrail-key': 'wrong'}, 401], [{'tanagerrail-key': key}, 200], [{'tanagerrail-key': `${key}-new`}, 200]];
	for (const [headers, expected] of cases) {
		const {statusCode, body} = await request(url, {headers});
		await body.dump();
		t.equal(statusCode, expected);
	}
});
