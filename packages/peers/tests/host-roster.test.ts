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

/** Starts rosters that reach each other by name, except those that are down. */
function startRosters(t: Test, names: readonly string[], seeds: readonly string[], goneMilliseconds = 5000) {
	const down = new Set<string>();
	const rosters = new Map<string, HostRoster>();
	const stopped = new AbortController();
	t.teardown(() => {
		stopped.abort();
	});
	const find = (address: string): ResultAsync<HostRoster, Failure> => {
		const name = address.split(':')[0]!;
		const roster = rosters.get(name);
		return roster && !down.has(name) ? okAsync(roster) : errAsync(createFailure('peer-unreachable', {host: address, reason: 'test'}));
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
			settleMilliseconds: 50,
			retryMilliseconds: 10,
			intervalMilliseconds: 50,
			goneMilliseconds,
		});
		rosters.set(name, roster);
		void roster.run(stopped.signal);
		return roster;
	};

	for (const name of names) {
		start(name);
	}

	return {rosters, down, start};
}

const listIds = (roster: HostRoster) => roster.hosts.map(({id}) => id).sort();

test('hosts that start together know each other once they have settled', async t => {
	const {rosters} = startRosters(t, ['s1', 's2', 'h3', 'h4', 'h5'], ['s1', 's2']);
	await wait(150);
	for (const roster of rosters.values()) {
		t.same(listIds(roster), ['h3', 'h4', 'h5', 's1', 's2']);
		t.equal(roster.count, 5);
	}
});

test('guards against a host that counts itself alone because the seeds are down', async t => {
	const {down, start} = startRosters(t, ['s1', 'h2'], ['s1']);
	await wait(150);
	down.add('s1');
	const late = start('h3');
	await wait(100);
	t.equal(late.count, undefined);
	down.clear();
	await wait(150);
	t.equal(late.count, 3);
});

test('a host that is alone is its own seed', async t => {
	const {rosters} = startRosters(t, ['s1'], ['s1']);
	await wait(100);
	t.equal(rosters.get('s1')!.count, 1);
});

test('guards against hosts that are gone and still have a share of the budgets', async t => {
	const {rosters} = startRosters(t, ['s1', 'h2', 'h3'], ['s1'], 300);
	await wait(150);
	const seed = rosters.get('s1')!;
	const asking = rosters.get('h2')!;
	const endsAt = clock() + 600;
	while (clock() < endsAt) {
		// The second host goes on asking the seed, the third is gone.
		seed.markAsking('h2');
		asking.adopt(asking.hosts.length === seed.hosts.length ? undefined : seed.listSightings());
		await wait(20);
	}

	t.same(listIds(seed), ['h2', 's1']);
});

test('guards against a host that comes back because somebody else still lists it', t => {
	const roster = new HostRoster({
		clock, self: buildHost('h1'), getSeeds: () => [], announceHosts: () => okAsync(undefined), listHosts: () => okAsync([]), goneMilliseconds: 300,
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
