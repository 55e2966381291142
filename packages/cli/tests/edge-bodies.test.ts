import {setTimeout as wait} from 'node:timers/promises';
import {test} from 'tap';
import {createSlowBehaviour} from '@tanagerrail/stand-ins';
import {standardRoutes, startEdgeHost, waitFor} from './fixtures/edge-fixture.js';

const longBody = 'x'.repeat(12_000_000);
const limits = {max_body_bytes: 67_108_864};

/** Routes with a timeout that leaves time for long bodies on a busy machine. */
const routes = standardRoutes.map(route => ({...route, timeout_ms: 4000}));

test('guards against long bodies that pile up in memory while their endpoints are slow', async t => {
	// Bodies may take 30 MB.
	const {endpoints, send} = await startEdgeHost(t, {
		limits, routes, memoryMegabytes: 100, services: {reads: 1, payments: 2},
	});
	for (const endpoint of endpoints.payments!) {
		endpoint.behaviour = createSlowBehaviour(1500);
	}

	const upload = async () => send({
		path: '/payments/long', method: 'POST', body: longBody, deadline: 4000,
	});
	const held = [upload(), upload()];
	await waitFor(() => endpoints.payments!.flatMap(({requests}) => requests).length === 2);
	const startedAt = performance.now();
	const refused = await upload();
	t.ok(performance.now() - startedAt < 1000, 'the refusal is sent at once');
	t.match(refused, {status: 503, headers: {'retry-after': '0.5', 'tanagerrail-outcome': 'not-run'}});
	t.match(refused.body, /"code":1009/v);
	const short = await send({path: '/payments/short', method: 'POST', body: 'x'});
	t.equal(short.status, 200, 'short bodies are accepted');
	const responses = await Promise.all(held);
	t.same(responses.map(({status}) => status), [200, 200]);
	await wait(50);
	const next = await upload();
	t.equal(next.status, 200, 'the memory is released with the responses');
	t.equal(endpoints.payments!.flatMap(({requests}) => requests).filter(({target}) => target === '/payments/long').length, 3);
});

test('the memory of bodies is released after each way in which a request can end', async t => {
	const {endpoints, send} = await startEdgeHost(t, {
		limits, routes, memoryMegabytes: 64, services: {reads: 1, payments: 1},
	});
	const [endpoint] = endpoints.payments!;
	const ends: ReadonlyArray<readonly [path: string, behaviour: NonNullable<typeof endpoint>['behaviour'] | undefined, deadline: number]> = [
		['/payments/1', (_, __, socket) => {
			socket.resetAndDestroy();
		}, 2000],
		['/payments/1', () => {/* No response. */}, 300],
		['/payments/1', ({id}, res) => {
			res.writeHead(500, {'x-attempt-id': id}).end();
		}, 2000],
		['/unknown/1', undefined, 2000],
	];
	const serve = endpoint!.behaviour;
	for (const [path, behaviour, deadline] of [...ends, ...ends]) {
		endpoint!.behaviour = behaviour ?? serve;
		await send({
			path, method: 'POST', body: longBody, deadline,
		});
	}

	endpoint!.behaviour = serve;
	await wait(600);
	const response = await send({
		path: '/payments/1', method: 'POST', body: longBody, deadline: 4000,
	});
	t.equal(response.status, 200);
});
