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
	durationHeader, lengthHeader, StandInEndpoint, StandInObjectStore, StandInTable,
} from '@tanagerrail/stand-ins';
import {createMetrics, listViolations, readMonotonicClock as clock} from '@tanagerrail/telemetry';
import {CallerListener} from '../src/caller-listener.js';
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

/** Two entry hosts in front of two endpoints; slots are granted in turn without a limit. */
class Fixture {
	readonly table = new StandInTable();
	readonly objects = new StandInObjectStore();
	readonly endpoints = [new StandInEndpoint(), new StandInEndpoint()];
	readonly hosts: string[] = [];
	ports: number[] = [];
	/** Refusals of the next slots. */
	refusals = 0;
	readonly #closers: Array<() => void> = [];

	get runs(): number {
		return this.endpoints.reduce((sum, {started}) => sum + started, 0);
	}

	async start(): Promise<this> {
		const [{url}, {url: objectsUrl}] = await Promise.all([this.table.start(), this.objects.start()]);
		const ports = await Promise.all(this.endpoints.map(async endpoint => endpoint.start()));
		this.ports = ports;
		const slots: SlotSource = {
			acquire: ({excluded}) => {
				this.refusals -= 1;
				const index = ports.findIndex((_, i) => !excluded.includes(String(i)));
				return this.refusals >= 0 || index === -1
					? errAsync(createFailure('queue-full'))
					: okAsync({
						endpointId: String(index), address: `127.0.0.1:${ports[index]}`, isUsable: () => true, release: () => undefined,
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
			const listener = new CallerListener({
				context: {
					hostId, clock, slots, connections, claims, metrics: createMetrics(), getConfiguration: () => configuration, getRetryBudget: () => budget, record: () => undefined,
				},
			});
			this.hosts.push(`http://127.0.0.1:${await listener.start({host: '127.0.0.1', port: 0})}/grants`);
			this.#closers.push(() => {
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

	/** Sends a request; resolves to status, code or length, and outcome. */
	async send(host: number, headers: Record<string, string> = {}, signal?: AbortSignal): Promise<string> {
		const response = await request(this.hosts[host]!, {
			method: 'POST', body: 'amount=1', signal, headers: {'idempotency-key': 'k', ...headers}, headersTimeout: 10_000,
		});
		const text = await response.body.text();
		const outcome = response.headers['tanagerrail-outcome'];
		return outcome === undefined ? `${response.statusCode} ${text.length} bytes` : `${(JSON.parse(text) as {title: string}).title} ${String(outcome)}`;
	}
}

type Case = {
	readonly name: string;
	readonly prepare?: (fixture: Fixture) => unknown;
	readonly headers?: Record<string, string>;
	readonly first: string;
	/** Before the request is sent again through the other host. */
	readonly repair?: (fixture: Fixture) => unknown;
	readonly resend: string;
	readonly runs: number;
};

const cases: Case[] = [
	{
		name: 'answered', first: '200 2 bytes', resend: '200 2 bytes', runs: 1,
	},
	{
		name: 'large response', headers: {[lengthHeader]: '100000'}, first: '200 100000 bytes', resend: '200 100000 bytes', runs: 1,
	},
	{
		name: 'key malformed', headers: {'idempotency-key': 'a b'}, first: 'key-malformed not-run', resend: 'key-malformed not-run', runs: 0,
	},
	{
		name: 'an endpoint that cannot be reached is passed over',
		prepare({endpoints}) {
			endpoints[0]!.stop();
		},
		first: '200 2 bytes',
		resend: '200 2 bytes',
		runs: 1,
	},
	{
		name: 'a request that reached no endpoint may be sent again',
		prepare(fixture) {
			fixture.refusals = 1;
		},
		first: 'queue-full not-run',
		resend: '200 2 bytes',
		runs: 1,
	},
	{
		name: 'an endpoint that crashes on the request is not replaced',
		prepare({endpoints}) {
			endpoints[0]!.update({crashTarget: '/grants'});
		},
		first: 'outcome-unknown unknown',
		resend: 'outcome-unknown unknown',
		runs: 1,
	},
	{
		name: 'a cut response is not passed on',
		prepare({endpoints}) {
			endpoints[0]!.update({cutAfterBytes: 1000});
		},
		headers: {[lengthHeader]: '100000'},
		first: 'outcome-unknown unknown',
		resend: 'outcome-unknown unknown',
		runs: 1,
	},
	{
		name: 'an endpoint that is too slow is not replaced',
		headers: {[durationHeader]: '5000'},
		first: 'outcome-unknown unknown',
		resend: 'outcome-unknown unknown',
		runs: 1,
	},
	{
		name: 'a failure of the endpoint is an outcome',
		prepare({endpoints}) {
			endpoints[0]!.update({isFailing: true});
		},
		first: '500 0 bytes',
		repair({endpoints}) {
			endpoints[0]!.update({isFailing: false});
		},
		resend: '500 0 bytes',
		runs: 0,
	},
	{
		name: 'the table is down',
		prepare: async ({table}) => table.update({down: 'refused'}),
		first: 'store-unavailable not-run',
		repair: async ({table}) => table.update({down: 'none'}),
		resend: '200 2 bytes',
		runs: 1,
	},
	{
		name: 'the response to the claim write is lost',
		prepare: async ({table}) => table.update({loseResponses: 1}),
		first: '200 2 bytes',
		resend: '200 2 bytes',
		runs: 1,
	},
];

test('a keyed request runs at most once, and a refusal as not run leaves the key free', async t => {
	await Promise.all(cases.map(async ({name, prepare, headers, first, repair, resend, runs}) => {
		const fixture = await new Fixture().start();
		await prepare?.(fixture);
		t.equal(await fixture.send(0, headers), first, name);
		await repair?.(fixture);
		t.equal(await fixture.send(1, headers), resend, `${name}: sent again`);
		t.equal(fixture.runs, runs, `${name}: runs`);
		fixture.stop();
	}));

	t.same(listViolations(), {});
});

test('an endpoint that refuses the request as not run is replaced by another one', async t => {
	const fixture = await new Fixture().start();
	t.teardown(() => {
		fixture.stop();
	});
	const [endpoint, other] = fixture.endpoints as [StandInEndpoint, StandInEndpoint];
	endpoint.update({slots: 1, shedAbove: 0});
	const occupying = request(`http://127.0.0.1:${fixture.ports[0]}`, {headers: {[durationHeader]: '400'}});
	while (endpoint.started === 0) {
		await wait(5);
	}

	t.equal(await fixture.send(0), '200 2 bytes');
	t.equal(other.started, 1);
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

test('a keyed request costs two table writes, and its replay one refused write and one read', async t => {
	const fixture = await new Fixture().start();
	t.teardown(() => {
		fixture.stop();
	});
	await fixture.send(0);
	t.same(fixture.table.counts, {reads: 0, writes: 2});
	await fixture.send(1);
	t.same(fixture.table.counts, {reads: 1, writes: 2});
});
