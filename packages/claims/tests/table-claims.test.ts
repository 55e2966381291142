import {setTimeout as wait} from 'node:timers/promises';
import {test} from 'tap';
import {createDynamoTable, createS3Objects} from '@tanagerrail/platform';
import {
	noPlatformFaults, StandInObjectStore, StandInTable, type PlatformFaults,
} from '@tanagerrail/stand-ins';
import {getViolationCounts} from '@tanagerrail/telemetry';
import type {Claim, ClaimKey, StoredOutcome} from '../src/claim-service.js';
import {TableClaims} from '../src/table-claims.js';
import type {TableClaimsOptions} from '../src/table-claims-options.js';
import {FakeTable, unusedObjects, type CallBehavior} from './fake-table.js';

const key: ClaimKey = {
	service: 'payments', key: 'k1', fingerprint: 'f', outcomeDays: 30,
};
const outcome: StoredOutcome = {status: 201, headers: {location: '/grants/1', 'set-cookie': ['a', 'b']}, body: Buffer.from('paid')};
const largeOutcome: StoredOutcome = {...outcome, body: Buffer.alloc(100_000, 'pdf')};

const common = {
	objects: unusedObjects, host: 'a', incarnation: 'a', getWriteRate: () => 100,
};

/** A platform with two entry hosts. */
class Fixture {
	readonly table = new StandInTable();
	readonly objects = new StandInObjectStore();
	readonly hosts: TableClaims[] = [];
	readonly #closers: Array<() => void> = [];

	async start(options: Partial<TableClaimsOptions> = {}): Promise<this> {
		const [{url}, {url: objectsUrl}] = await Promise.all([this.table.start(), this.objects.start()]);
		for (const host of ['a', 'b']) {
			const table = createDynamoTable({url, timeoutMilliseconds: 700});
			const objects = createS3Objects({url: objectsUrl, timeoutMilliseconds: 700});
			this.hosts.push(new TableClaims({
				table, objects, host, incarnation: host, getWriteRate: () => 100, lateWriteMilliseconds: 3000, ...options,
			}));
			this.#closers.push(() => {
				table.close();
				objects.close();
			});
		}

		return this;
	}

	stop(): void {
		for (const host of this.hosts) {
			void host.drain(AbortSignal.abort());
		}

		for (const close of this.#closers) {
			close();
		}

		this.table.stop();
		this.objects.stop();
	}

	async update(faults: Partial<PlatformFaults>): Promise<void> {
		await Promise.all([this.table.update(faults), this.objects.update(faults)]);
	}

	/** Claims a request; resolves to the result as one string. */
	async claim(host: number, changes: Partial<ClaimKey> = {}, remaining = 1500): Promise<string> {
		const claimed = await this.hosts[host]!.claim({...key, ...changes}, remaining);
		return claimed.match(
			value => value.kind === 'claimed' ? 'claimed' : `${value.outcome.status} ${value.outcome.body.length} ${JSON.stringify(value.outcome.headers)}`,
			({id}) => id,
		);
	}

	async claimAndDispatch(host: number): Promise<Claim> {
		const claimed = await this.hosts[host]!.claim(key, 1000);
		const value = claimed._unsafeUnwrap();
		if (value.kind !== 'claimed') {
			throw new Error('The key is already done.');
		}

		this.hosts[host]!.recordDispatch(value.claim);
		return value.claim;
	}

	async drain(): Promise<void> {
		await Promise.all(this.hosts.map(async host => host.drain(AbortSignal.timeout(20_000))));
	}
}

const replayed = `201 4 ${JSON.stringify(outcome.headers)}`;
const replayedLarge = `201 100000 ${JSON.stringify(outcome.headers)}`;

test('under each fault of its write a claim is made or refused as not run, and the key is never blocked forever', async t => {
	const cases: Array<[name: string, faults: Partial<PlatformFaults>, first: string]> = [
		['no fault', {}, 'claimed'],
		['response lost after the effect', {loseResponses: 1}, 'claimed'],
		['failed before the effect', {failWrites: 1}, 'claimed'],
		['connection refused', {down: 'refused'}, 'store-unavailable'],
		['unavailable', {down: 'unavailable'}, 'store-unavailable'],
		['too slow', {slowMilliseconds: 1600}, 'store-unavailable'],
	];
	await Promise.all(cases.map(async ([name, faults, first]) => {
		const fixture = await new Fixture().start();
		await fixture.update(faults);
		t.equal(await fixture.claim(0), first, name);
		await fixture.update(noPlatformFaults);
		if (first !== 'claimed') {
			await fixture.drain();
			t.equal(await fixture.claim(1), 'claimed', `${name}: the key is free again`);
		}

		t.equal(await fixture.claim(1), 'outcome-unknown', `${name}: no other host runs it`);
		fixture.stop();
	}));
});

test('an outcome is replayed from any host even if its write was lost, refused or delayed', async t => {
	const cases: Array<[name: string, faults: Partial<PlatformFaults>, body: StoredOutcome, during: string]> = [
		['no fault', {}, outcome, replayed],
		['response lost', {loseResponses: 1}, outcome, replayed],
		['failed once', {failWrites: 1}, outcome, replayed],
		['table down', {down: 'refused'}, outcome, 'store-unavailable'],
		['table slow', {slowMilliseconds: 1600}, outcome, 'store-unavailable'],
		['large body', {}, largeOutcome, replayedLarge],
	];
	await Promise.all(cases.map(async ([name, faults, body, during]) => {
		const fixture = await new Fixture().start();
		const claim = await fixture.claimAndDispatch(0);
		await fixture.update(faults);
		await fixture.hosts[0]!.storeOutcome(claim, body);
		t.equal(await fixture.claim(1), during, `${name}: a resend`);
		await fixture.update(noPlatformFaults);
		await fixture.drain();
		t.equal(await fixture.claim(1), body === outcome ? replayed : replayedLarge, `${name}: a resend later`);
		t.equal(await fixture.claim(1, {fingerprint: 'other'}), 'key-reused', `${name}: another body`);
		fixture.stop();
	}));
});

test('a large outcome that the object store refuses is unknown to a resend until it is stored', async t => {
	const fixture = await new Fixture().start();
	t.teardown(() => {
		fixture.stop();
	});
	const claim = await fixture.claimAndDispatch(0);
	await fixture.objects.update({down: 'refused'});
	await fixture.hosts[0]!.storeOutcome(claim, largeOutcome);
	t.equal(await fixture.claim(1), 'outcome-unknown');
	await fixture.objects.update(noPlatformFaults);
	await fixture.drain();
	t.equal(await fixture.claim(1), replayedLarge);
	await fixture.objects.update({down: 'refused'});
	t.equal(await fixture.claim(1), 'outcome-unknown', 'the stored body cannot be read');
});

test('of two hosts that race for a key one runs the request; the other waits for the outcome or claims a request that did not run', async t => {
	const fixture = await new Fixture().start();
	t.teardown(() => {
		fixture.stop();
	});
	const race = await Promise.all([fixture.claim(0, {key: 'k2'}), fixture.claim(1, {key: 'k2'})]);
	t.same(race.sort(), ['claimed', 'outcome-unknown']);
	const claim = await fixture.claimAndDispatch(0);
	const waitingClaim = fixture.claim(1, {}, 10_000);
	await wait(50);
	fixture.hosts[0]!.recordNotRun(claim);
	await fixture.hosts[0]!.remove(claim);
	t.equal(await waitingClaim, 'claimed', 'the previous claim was removed');
	t.notOk(fixture.hosts[0]!.recordDispatch(claim), 'a removed claim is not dispatched');
	t.same(getViolationCounts(), {'claim-dispatched-once': 1}, 'the invariant reports it');
});

test('writes stay within the budget of the host, at two writes per request', async t => {
	const fixture = await new Fixture().start({getWriteRate: () => 4, clock: () => 0});
	t.teardown(() => {
		fixture.stop();
	});
	const claim = await fixture.claimAndDispatch(0);
	await fixture.hosts[0]!.storeOutcome(claim, outcome);
	t.same(fixture.table.counts, {reads: 0, writes: 2});
	t.equal(await fixture.claim(0, {key: 'k2'}), 'claimed');
	t.equal(await fixture.claim(0, {key: 'k3'}), 'store-busy');
	t.equal(fixture.table.counts.writes, 3, 'nothing was sent');
});

test('the response to a caller is not blocked by a table that never responds', async t => {
	let isHanging = false;
	const never = new Promise<never>(() => {
		// Never resolves.
	});
	const table = new FakeTable(async () => isHanging ? never : undefined);
	const claims = new TableClaims({table, ...common});
	const claimed = await claims.claim(key, 1000);
	const value = claimed._unsafeUnwrap();
	isHanging = true;
	if (value.kind === 'claimed') {
		await claims.storeOutcome(value.claim, outcome);
	}

	t.equal(value.kind, 'claimed');
});

test('a request throttled by the table is refused as not run and leaves no claim behind', async t => {
	const table = new FakeTable(async () => undefined);
	table.nextBehaviors.push('throttled');
	const claims = new TableClaims({table, ...common});
	const claimed = await claims.claim(key, 100);
	t.equal(claimed.isErr() && claimed.error.id, 'store-busy');
	t.equal(table.items.size, 0);
});

test('a removal that takes effect late does not remove the claim of another host', async t => {
	const table = new FakeTable(async () => wait(1));
	const [a, b] = ['a', 'b'].map(host => new TableClaims({
		...common, table, host, initialRetryDelayMilliseconds: 0,
	})) as [TableClaims, TableClaims];
	const first = await a.claim(key, 1000);
	table.nextBehaviors.push('late');
	const removal = first._unsafeUnwrap();
	if (removal.kind === 'claimed') {
		await a.remove(removal.claim);
	}

	const second = await b.claim(key, 1000);
	t.equal(second.isOk() && second.value.kind, 'claimed');
	await wait(50);
	t.equal(table.items.size, 1, 'the claim of the second host is still there');
});

test('a claim that is made after its request was refused is removed, since no host would run it', async t => {
	const table = new FakeTable(async () => wait(20));
	const claims = new TableClaims({table, ...common});
	const claimed = await claims.claim(key, 5);
	t.equal(claimed.isErr() && claimed.error.id, 'store-unavailable');
	while (table.items.size === 0) {
		await wait(5);
	}

	await claims.drain(AbortSignal.timeout(20_000));
	t.equal(table.items.size, 0);
});

test('pending writes do not accumulate during an outage', async t => {
	const table = new FakeTable(async () => undefined);
	const claims = new TableClaims({
		table, ...common, settleMilliseconds: 0, maximumRetryingWrites: 1, initialRetryDelayMilliseconds: 10_000,
	});
	const outage: CallBehavior[] = Array.from({length: 100}, () => 'dropped');
	table.nextBehaviors.push(...outage);
	const refused = await claims.claim(key, 1000);
	const callsBefore = table.nextBehaviors.length;
	const refusedAtOnce = await claims.claim({...key, key: 'k2'}, 1000);
	t.same([refused, refusedAtOnce].map(result => result.isErr() && result.error.id), ['store-unavailable', 'store-unavailable']);
	t.equal(table.nextBehaviors.length, callsBefore, 'the second claim makes no call');
	await claims.drain(AbortSignal.abort());
});
