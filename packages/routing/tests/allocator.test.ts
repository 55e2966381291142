import fc from 'fast-check';
import {test} from 'tap';
import {AllocatorFixture} from './allocator-fixture.js';

test('a request waits for any slot of the service, not for an endpoint that was chosen on arrival', async t => {
	const fixture = new AllocatorFixture({endpoints: 2});
	for (let index = 0; index < 7; index += 1) {
		fixture.acquire();
	}

	t.equal(fixture.settled.length, 6, 'all slots are in use');
	fixture.release(fixture.getGrant(4).grantId);
	t.equal(fixture.getGrant(6).endpointId, fixture.getGrant(4).endpointId, 'the first free slot serves the waiting request');
});

test('an interactive request does not wait behind batch work', async t => {
	const fixture = new AllocatorFixture();
	for (let index = 0; index < 3; index += 1) {
		fixture.acquire();
	}

	fixture.acquire({workClass: 'letters'}, 'batch');
	fixture.acquire({}, 'interactive');
	fixture.release(fixture.getGrant(0).grantId);
	t.equal(fixture.settled[3]?.hostId, 'interactive');
});

test('long work holds no more than its share, and gets its share when short work waits', async t => {
	const fixture = new AllocatorFixture();
	fixture.acquire({workClass: 'reconciliation', remainingMilliseconds: 60_000}, 'long');
	fixture.acquire({workClass: 'reconciliation', remainingMilliseconds: 60_000}, 'long');
	fixture.acquire({workClass: 'reconciliation', remainingMilliseconds: 60_000}, 'long');
	t.equal(fixture.settled.length, 2, 'ceil(0.34 * 3) slots');
	fixture.acquire();
	fixture.acquire({}, 'short');
	fixture.release(fixture.getGrant(0).grantId);
	t.equal(fixture.settled[3]?.hostId, 'long', 'long work below its share goes first');
});

test('a request that cannot complete by its deadline is refused at once and does not run', async t => {
	const cases = [
		{name: 'the expected wait is above half of the deadline', remainingMilliseconds: 60, code: 'queue-full'},
		{name: 'less time than the usual duration is left', remainingMilliseconds: 5, code: 'queue-full'},
	];
	for (const {name, remainingMilliseconds, code} of cases) {
		const fixture = new AllocatorFixture();
		for (let index = 0; index < 3 + 9; index += 1) {
			fixture.acquire({remainingMilliseconds: 60});
		}

		fixture.acquire({remainingMilliseconds}, 'late');
		const last = fixture.settled.findIndex(({hostId}) => hostId === 'late');
		t.equal(fixture.getRefusal(last), code, name);
	}
});

test('a waiting request is refused when it can no longer meet its deadline', async t => {
	const fixture = new AllocatorFixture();
	for (let index = 0; index < 4; index += 1) {
		fixture.acquire({remainingMilliseconds: 100});
	}

	fixture.now = 95;
	fixture.allocator.expire();
	t.equal(fixture.getRefusal(3), 'deadline-exceeded');
});

test('an endpoint whose attempts fail gets trials only, and all slots after a success', async t => {
	const fixture = new AllocatorFixture({endpoints: 2});
	for (let index = 0; index < 5; index += 1) {
		fixture.acquire({excluded: ['e1']});
		fixture.release(fixture.getGrant(index).grantId, 'failure', 1);
	}

	t.match(fixture.allocator.describe()[0], {state: 'failing'});
	fixture.acquire();
	t.equal(fixture.getGrant(5).endpointId, 'e1', 'no work while ejected');
	fixture.now = 251;
	fixture.acquire();
	fixture.acquire();
	t.same([6, 7].map(index => fixture.getGrant(index).endpointId), ['e0', 'e1'], 'one trial only');
	fixture.release(fixture.getGrant(6).grantId);
	t.not(fixture.allocator.describe()[0]?.state, 'failing');
});

test('a slow endpoint gets no more requests, even before its first requests have ended', async t => {
	const fixture = new AllocatorFixture({endpoints: 4});
	for (let round = 0; round < 5; round += 1) {
		for (const excluded of [['e0', 'e2', 'e3'], ['e0', 'e1', 'e3'], ['e0', 'e1', 'e2']]) {
			fixture.acquire({excluded});
			fixture.release(fixture.settled.at(-1)!.result._unsafeUnwrap().grantId);
		}
	}

	for (let index = 0; index < 3; index += 1) {
		fixture.acquire({excluded: ['e1', 'e2', 'e3']});
	}

	fixture.now = 100;
	fixture.acquire();
	t.match(fixture.allocator.describe()[0], {id: 'e0', state: 'slow'});
	t.not(fixture.settled.at(-1)!.result._unsafeUnwrap().endpointId, 'e0');
});

test('leased slots are recalled for waiting requests', async t => {
	const recalled: string[] = [];
	const fixture = new AllocatorFixture({
		endpoints: 2, onRecall(hostId) {
			recalled.push(hostId);
		},
	});
	fixture.acquire({}, 'h1');
	const lease = fixture.allocator.releaseOrLease(fixture.getGrant(0).grantId, {outcome: 'success', milliseconds: 10, isDraining: false});
	t.ok(lease, 'an idle slot is leased to the host');
	for (let index = 0; index < 6; index += 1) {
		fixture.acquire({}, 'h2');
	}

	t.equal(fixture.settled.length, 6);
	t.same(recalled, ['h1']);
	fixture.allocator.releaseLease(lease!.grantId);
	t.equal(fixture.settled.length, 7);
});

test('leased slots of a draining endpoint are recalled', async t => {
	const recalled: string[] = [];
	const fixture = new AllocatorFixture({
		endpoints: 2, onRecall(hostId) {
			recalled.push(hostId);
		},
	});
	fixture.acquire({}, 'h1');
	const {grantId, endpointId} = fixture.getGrant(0);
	t.ok(fixture.allocator.releaseOrLease(grantId, {outcome: 'success', milliseconds: 10, isDraining: false}));
	fixture.allocator.drainEndpoint(endpointId, 'test');
	fixture.allocator.expire();
	fixture.allocator.expire();
	t.same(recalled, ['h1']);
});

test('a request that crashes endpoints runs one at a time and is quarantined after two crashes', async t => {
	const fixture = new AllocatorFixture({endpoints: 4});
	fixture.acquire({fingerprint: 'bad'});
	fixture.release(fixture.getGrant(0).grantId, 'crashed');
	fixture.acquire({fingerprint: 'bad'});
	fixture.acquire({fingerprint: 'bad'});
	t.equal(fixture.settled.length, 2, 'the third run waits for the second');
	fixture.release(fixture.getGrant(1).grantId, 'crashed');
	t.equal(fixture.getRefusal(2), 'quarantined');
	fixture.acquire({fingerprint: 'bad'});
	t.equal(fixture.getRefusal(3), 'quarantined');
	fixture.acquire({fingerprint: 'good'});
	t.equal(fixture.settled[4]?.result.isOk(), true, 'other requests run');
});

test('a crash counts even if the allocator no longer has the grant, for example after a pause', async t => {
	const fixture = new AllocatorFixture({endpoints: 4});
	const crash = {
		outcome: 'crashed', milliseconds: 1, isDraining: false, crashed: 'bad',
	} as const;
	fixture.allocator.release('unknown', crash);
	fixture.allocator.release('unknown', crash);
	fixture.acquire({fingerprint: 'bad'});
	t.equal(fixture.getRefusal(0), 'quarantined');
});

test('slots of a lost host are released, and its later releases are ignored', async t => {
	const fixture = new AllocatorFixture();
	for (let index = 0; index < 3; index += 1) {
		fixture.acquire({}, 'lost');
	}

	fixture.acquire({}, 'alive');
	fixture.allocator.removeHost('lost');
	t.equal(fixture.settled[3]?.hostId, 'alive');
	fixture.release(fixture.getGrant(0).grantId);
	t.equal(fixture.allocator.inUse, 1);
});

test('two allocators together hand out no more than the slots and the share of lost hosts', async t => {
	const cases = [
		{
			name: 'first rank, nobody moved', share: {
				isFirstRank: true, listed: 15, connected: 3, moved: 0,
			}, quota: 30,
		},
		{
			name: 'first rank, five moved', share: {
				isFirstRank: true, listed: 15, connected: 10, moved: 5,
			}, quota: 20,
		},
		{
			name: 'second rank, five connected', share: {
				isFirstRank: false, listed: 15, connected: 5, moved: 0,
			}, quota: 10,
		},
		{
			name: 'at least one slot', share: {
				isFirstRank: false, listed: 100, connected: 1, moved: 0,
			}, quota: 1,
		},
	];
	for (const {name, share, quota} of cases) {
		const fixture = new AllocatorFixture({endpoints: 10});
		fixture.allocator.setQuotaInput(share);
		t.equal(fixture.allocator.quota, quota, name);
	}
});

test('no order of events uses more slots than there are or settles a request twice', async t => {
	const seed = Number(process.env.SEED ?? 20_261_204);
	t.comment(`seed ${seed}`);
	const step = fc.record({kind: fc.constantFrom('acquire', 'release', 'lease', 'return', 'cancel', 'remove', 'tick', 'fail'), pick: fc.nat(20), host: fc.nat(3)});
	fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
		const fixture = new AllocatorFixture({endpoints: 3});
		const tickets: Array<ReturnType<AllocatorFixture['acquire']>> = [];
		const leases: string[] = [];
		const release = {outcome: 'success', milliseconds: 10, isDraining: false} as const;
		for (const {kind, pick, host} of steps) {
			const grants = fixture.settled.filter(({result}) => result.isOk()).map(({result}) => result._unsafeUnwrap().grantId);
			const grantId = grants.at(-1 - (pick % Math.max(1, grants.length)));
			const handlers: Record<typeof kind, () => void> = {
				acquire() {
					tickets.push(fixture.acquire({fingerprint: `f${pick}`, workClass: pick % 5 === 0 ? 'reconciliation' : 'status', remainingMilliseconds: 5000}, `h${host}`));
				},
				release() {
					fixture.release(grantId ?? '');
				},
				lease() {
					const lease = fixture.allocator.releaseOrLease(grantId ?? '', release);
					leases.push(...(lease ? [lease.grantId] : []));
				},
				return() {
					fixture.allocator.releaseLease(leases.pop() ?? '');
				},
				cancel() {
					if (tickets.length > 0) {
						fixture.allocator.cancel(tickets[pick % tickets.length]!);
					}
				},
				remove() {
					fixture.allocator.removeHost(`h${host}`);
				},
				tick() {
					fixture.now += pick * 20;
					fixture.allocator.expire();
				},
				fail() {
					fixture.release(grantId ?? '', 'failure');
				},
			};
			handlers[kind]();
			const {allocator} = fixture;
			const used = allocator.describe().every(({inUse, leased, slots}) => inUse + leased <= slots);
			if (!used || allocator.inUse + allocator.leased > allocator.quota || fixture.settled.length > tickets.length) {
				return false;
			}
		}

		return true;
	}), {seed, numRuns: 500});
	t.pass();
});
