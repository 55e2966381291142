import {setTimeout as wait} from 'node:timers/promises';
import {errAsync, okAsync} from 'neverthrow';
import {test} from 'tap';
import {request} from 'undici';
import {TableClaims} from '@tanagerrail/claims';
import {defaultServiceConfiguration, type Configuration} from '@tanagerrail/configuration';
import {createDynamoTable, createS3Objects} from '@tanagerrail/platform';
import {createFailure} from '@tanagerrail/results';
import {RetryBudget, type SlotSource} from '@tanagerrail/routing';
import {
	chooseLoopbackAddress, durationHeader, lengthHeader, StandInEndpoint, StandInObjectStore, StandInTable, type EndpointFaults,
} from '@tanagerrail/stand-ins';
import {createMetrics, getViolationCounts, readMonotonicClock as clock} from '@tanagerrail/telemetry';
import {createServiceListener} from '../src/create-service-listener.js';
import {EndpointConnections} from '../src/endpoint-connections.js';

const configuration: Configuration = {
	revision: 1,
	measuring: {probesPerSecond: 0, bytesPerSecond: 0},
	tableWritesPerSecond: 300,
	services: [{
		...defaultServiceConfiguration,
		name: 'payments',
		workClasses: [{
			name: 'grant', kind: 'short', priority: 'normal', usualMilliseconds: 10, longestMilliseconds: 1000, deadlineMilliseconds: 1500, hedge: false,
		}],
		routes: [{
			method: '*', path: '/**', workClass: 'grant', idempotent: false,
		}],
	}],
};

/** Two entry hosts in front of two endpoints; slots are always granted, on the first endpoint that is not excluded. */
class Fixture {
	readonly table = new StandInTable();
	readonly objects = new StandInObjectStore();
	readonly endpoints = [new StandInEndpoint(), new StandInEndpoint()];
	/** Loopback address that no other test process uses, so that none receives requests to a stopped endpoint or sends its own here. */
	readonly endpointHost = chooseLoopbackAddress();
	readonly hosts: string[] = [];
	ports: number[] = [];
	/** Number of slot requests to refuse from now on. */
	refusals = 0;
	readonly #closers: Array<() => void> = [];

	get runs(): number {
		return this.endpoints.reduce((sum, {startedCount}) => sum + startedCount, 0);
	}

	async start(): Promise<this> {
		const [{url}, {url: objectsUrl}] = await Promise.all([this.table.start(), this.objects.start()]);
		const ports = await Promise.all(this.endpoints.map(async endpoint => endpoint.start(0, this.endpointHost)));
		this.ports = ports;
		const slots: SlotSource = {
			acquire: ({excluded}) => {
				this.refusals -= 1;
				const index = ports.findIndex((_, i) => !excluded.includes(String(i)));
				return this.refusals >= 0 || index === -1
					? errAsync(createFailure('queue-full'))
					: okAsync({
						endpointId: String(index), address: `${this.endpointHost}:${ports[index]}`, isUsable: () => true, release: () => undefined,
					});
			},
		};
		for (const hostId of ['a', 'b']) {
			const [table, objects] = [createDynamoTable({url}), createS3Objects({url: objectsUrl})];
			const claims = new TableClaims({
				table, objects, host: hostId, incarnation: hostId, getWriteRate: () => 100,
			});
			const connections = new EndpointConnections({
				clock, connections: 10, connectTimeout: 250, idleTimeout: 1000,
			});
			const budget = new RetryBudget({ratio: 1});
			const listener = createServiceListener({
				context: {
					hostId, clock, slots, connections, claims, metrics: createMetrics(), getConfiguration: () => configuration, getRetryBudget: () => budget, record: () => undefined,
				},
			});
			this.hosts.push(`http://127.0.0.1:${await listener.start({host: '127.0.0.1', port: 0})}/grants`);
			this.#closers.push(() => {
				void claims.drain(AbortSignal.abort());
				listener.stop();
				listener.abort();
				connections.close();
				table.close();
				objects.close();
			});
		}

		return this;
	}

	stop(): void {
		for (const standIn of [...this.endpoints, this.table, this.objects]) {
			standIn.stop();
		}

		for (const close of this.#closers) {
			close();
		}
	}

	/** Sends a request; resolves to status and length of a response, or result code and outcome of a refusal. */
	async send(host: number, headers: Record<string, string> = {}, signal?: AbortSignal): Promise<string> {
		const response = await request(this.hosts[host]!, {
			method: 'POST', body: 'amount=1', signal, headers: {'idempotency-key': 'k', ...headers}, headersTimeout: 10_000,
		});
		const text = await response.body.text();
		const outcome = response.headers['tanagerrail-outcome'];
		return outcome === undefined ? `${response.statusCode} ${text.length} bytes` : `${(JSON.parse(text) as {title: string}).title} ${String(outcome)}`;
	}
}

type Prepare = (fixture: Fixture) => unknown;

const updateFirst = (faults: EndpointFaults): Prepare => ({endpoints}) => {
	endpoints[0]!.update(faults);
};

const large = {[lengthHeader]: '100000'};

/** The second function of `prepare` runs before the request is sent again through the other host. */
const cases: Array<[name: string, headers: Record<string, string>, prepare: Prepare[], first: string, resend: string, runs: number]> = [
	['answered', {}, [], '200 2 bytes', '200 2 bytes', 1],
	['large response', large, [], '200 100000 bytes', '200 100000 bytes', 1],
	['key malformed', {'idempotency-key': 'a b'}, [], 'key-malformed not-run', 'key-malformed not-run', 0],
	['an endpoint that cannot be reached is skipped', {}, [({endpoints}) => {
		endpoints[0]!.stop();
	}], '200 2 bytes', '200 2 bytes', 1],
	['a request that reached no endpoint may be sent again', {}, [fixture => {
		fixture.refusals = 1;
	}], 'queue-full not-run', '200 2 bytes', 1],
	['an endpoint that crashes on the request is not replaced', {}, [updateFirst({crashTarget: '/grants'})], 'outcome-unknown unknown', 'outcome-unknown unknown', 1],
	['a truncated response is not forwarded', large, [updateFirst({cutAfterBytes: 1000})], 'outcome-unknown unknown', 'outcome-unknown unknown', 1],
	['an endpoint that is too slow is not replaced', {[durationHeader]: '5000'}, [], 'outcome-unknown unknown', 'outcome-unknown unknown', 1],
	['a server error of the endpoint is stored as the outcome', {}, [updateFirst({isFailing: true}), updateFirst({isFailing: false})], '500 0 bytes', '500 0 bytes', 0],
	['the table is down', {}, [async ({table}) => table.update({down: 'refused'}), async ({table}) => table.update({down: 'none'})], 'store-unavailable not-run', '200 2 bytes', 1],
	['the response to the claim write is lost', {}, [async ({table}) => table.update({loseResponses: 1})], '200 2 bytes', '200 2 bytes', 1],
];

test('a keyed request runs at most once, and a refusal as not run leaves the key free', async t => {
	await Promise.all(cases.map(async ([name, headers, [prepare, repair], first, resend, runs]) => {
		const fixture = await new Fixture().start();
		await prepare?.(fixture);
		t.equal(await fixture.send(0, headers), first, name);
		await repair?.(fixture);
		t.equal(await fixture.send(1, headers), resend, `${name}: sent again`);
		t.equal(fixture.runs, runs, `${name}: runs`);
		fixture.stop();
	}));

	t.same(getViolationCounts(), {});
});

test('an endpoint that refuses the request as not run is replaced by another one', async t => {
	const fixture = await new Fixture().start();
	t.teardown(() => {
		fixture.stop();
	});
	const [endpoint, other] = fixture.endpoints as [StandInEndpoint, StandInEndpoint];
	endpoint.update({slots: 1, shedAbove: 0});
	const occupying = request(`http://${fixture.endpointHost}:${fixture.ports[0]}`, {headers: {[durationHeader]: '400'}});
	while (endpoint.startedCount === 0) {
		await wait(5);
	}

	t.equal(await fixture.send(0), '200 2 bytes');
	t.equal(other.startedCount, 1);
	await occupying;
});

test('the outcome of a request whose caller is gone is stored for its resend', async t => {
	const fixture = await new Fixture().start();
	t.teardown(() => {
		fixture.stop();
	});
	const controller = new AbortController();
	const sent = fixture.send(0, {[durationHeader]: '200'}, controller.signal);
	while (fixture.runs === 0) {
		await wait(5);
	}

	controller.abort();
	await t.rejects(sent);
	t.equal(await fixture.send(1, {[durationHeader]: '200'}), '200 2 bytes');
	t.equal(fixture.runs, 1);
});

test('a keyed request takes two table writes, and its replay one refused write and one read', async t => {
	const fixture = await new Fixture().start();
	t.teardown(() => {
		fixture.stop();
	});
	await fixture.send(0);
	t.same(fixture.table.counts, {reads: 0, writes: 2});
	await fixture.send(1);
	t.same(fixture.table.counts, {reads: 1, writes: 2});
});
