import {setTimeout as wait} from 'node:timers/promises';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {test, type Test} from 'tap';
import {createFailure, type Failure} from '@tanagerrail/results';
import {readMonotonicClock as clock} from '@tanagerrail/telemetry';
import {HostRoster, type PeerHost} from '../src/index.js';

function buildHost(id: string): PeerHost {
	return {
		id, failureDomain: 'a', peerAddress: `${id}:1`, cores: 1,
	};
}

/** Starts rosters that call each other directly, except those marked as unreachable. */
function startRosters(t: Test, names: readonly string[], seeds: readonly string[], expiryMilliseconds = 5000) {
	const unreachable = new Set<string>();
	const rosters = new Map<string, HostRoster>();
	const stopped = new AbortController();
	t.teardown(() => {
		stopped.abort();
	});
	const find = (address: string): ResultAsync<HostRoster, Failure> => {
		const name = address.split(':')[0]!;
		const roster = rosters.get(name);
		return roster && !unreachable.has(name) ? okAsync(roster) : errAsync(createFailure('peer-unreachable', {host: address, reason: 'test'}));
	};

	const start = (name: string) => {
		const roster = new HostRoster({
			clock,
			self: buildHost(name),
			getSeeds: () => seeds.map(seed => `${seed}:1`),
			announceHosts: (address, sightings) => find(address).andThen(other => {
				other.merge(sightings);
				return okAsync(undefined);
			}),
			listHosts: address => find(address).map(other => other.listSightings()),
			discoveryMilliseconds: 50,
			retryMilliseconds: 10,
			intervalMilliseconds: 50,
			expiryMilliseconds,
		});
		rosters.set(name, roster);
		void roster.run(stopped.signal);
		return roster;
	};

	for (const name of names) {
		start(name);
	}

	return {rosters, unreachable, start};
}

const listIds = (roster: HostRoster) => roster.hosts.map(({id}) => id).sort();

test('hosts that start together know each other once discovery is complete', async t => {
	const {rosters} = startRosters(t, ['s1', 's2', 'h3', 'h4', 'h5'], ['s1', 's2']);
	await wait(150);
	for (const roster of rosters.values()) {
		t.same(listIds(roster), ['h3', 'h4', 'h5', 's1', 's2']);
		t.equal(roster.count, 5);
	}
});

test('guards against a host that counts only itself because the seeds are unreachable', async t => {
	const {unreachable, start} = startRosters(t, ['s1', 'h2'], ['s1']);
	await wait(150);
	unreachable.add('s1');
	const lateHost = start('h3');
	await wait(100);
	t.equal(lateHost.count, undefined);
	unreachable.clear();
	await wait(150);
	t.equal(lateHost.count, 3);
});

test('a single host is its own seed', async t => {
	const {rosters} = startRosters(t, ['s1'], ['s1']);
	await wait(100);
	t.equal(rosters.get('s1')!.count, 1);
});

test('guards against stopped hosts that still have a share of the budgets', async t => {
	const {rosters} = startRosters(t, ['s1', 'h2', 'h3'], ['s1'], 300);
	await wait(150);
	const seed = rosters.get('s1')!;
	const asking = rosters.get('h2')!;
	const endsAt = clock() + 600;
	while (clock() < endsAt) {
		// The second host continues to send requests to the seed, the third one has stopped.
		seed.recordRequest('h2');
		asking.adopt(asking.hosts.length === seed.hosts.length ? undefined : seed.listSightings());
		await wait(20);
	}

	t.same(listIds(seed), ['h2', 's1']);
});

test('guards against a removed host that is added again because another host still lists it', t => {
	const roster = new HostRoster({
		clock, self: buildHost('h1'), getSeeds: () => [], announceHosts: () => okAsync(undefined), listHosts: () => okAsync([]), expiryMilliseconds: 300,
	});
	const {version} = roster;
	roster.merge([{...buildHost('h2'), seenMilliseconds: 400}]);
	t.same(listIds(roster), ['h1']);
	t.equal(roster.version, version);
	roster.merge([{...buildHost('h2'), seenMilliseconds: 100}]);
	t.same(listIds(roster), ['h1', 'h2']);
	t.not(roster.version, version);
	t.end();
});
