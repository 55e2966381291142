import {okAsync} from 'neverthrow';
import {test} from 'tap';
import {defaultServiceConfiguration, type Configuration} from '@tanagerrail/configuration';
import {HostDirectory, rankHosts} from '@tanagerrail/membership';
import type {ListedHost} from '@tanagerrail/platform';
import {AllocatorRegistry} from '../src/allocator-registry.js';

const service = 'claim-status';
const configuration: Configuration = {
	revision: 1,
	measuring: {probesPerSecond: 0, bytesPerSecond: 0},
	tableWritesPerSecond: 300,
	services: [{
		...defaultServiceConfiguration, name: service, workClasses: [], routes: [],
	}],
};

test('the share of hosts that never connect is released after the join grace period, even if the process did not run when it ended', async t => {
	const hostIds = ['a', 'b', 'c'];
	const hosts: ListedHost[] = hostIds.map(id => ({
		id, role: 'entry', state: 'live', failureDomain: 'a', address: '127.0.0.1:1',
	}));
	hosts.push({
		id: 'e', role: 'endpoint', state: 'live', failureDomain: 'a', address: '127.0.0.1:2', service,
	});
	let now = 0;
	const clock = () => now;
	const directory = new HostDirectory({hostList: {list: () => okAsync(hosts)}, clock});
	const registry = new AllocatorRegistry({
		hostId: rankHosts(service, hostIds)[0]!, directory, clock, getConfiguration: () => configuration,
	});
	t.teardown(() => {
		registry.stop();
		directory.stop();
	});
	await directory.start();
	const allocator = registry.get(service)!;
	t.equal(allocator.quota, 1, 'two of three hosts have not connected');
	now = 2000;
	const startedAt = Date.now();
	while (allocator.quota < 3 && Date.now() - startedAt < 10_000) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}

	t.equal(allocator.quota, 3);
});
