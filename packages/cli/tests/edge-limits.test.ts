import {once} from 'node:events';
import {setTimeout as wait} from 'node:timers/promises';
import {test} from 'tap';
import {
	buildConfiguration, buildRequestHead, getStatus, openSocket, sendRequest, standardRoutes, startEdgeHost, waitFor,
} from './fixtures/edge-fixture.js';

/** Opens a connection and sends text; returns all received text once the host has closed the connection, and the elapsed time. */
async function sendUntilClosed(address: string, text: string): Promise<{received: string; milliseconds: number}> {
	const socket = openSocket(address);
	const startedAt = performance.now();
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
	});
	socket.on('error', () => undefined);
	socket.write(text);
	await once(socket, 'close');
	return {received, milliseconds: performance.now() - startedAt};
}

test('headers and bodies that exceed the configured limits are refused and not forwarded', async t => {
	const {store, endpoints, settings, send} = await startEdgeHost(t);
	store.put('op', 'config', buildConfiguration(2, standardRoutes, {max_header_bytes: 2000, max_body_bytes: 1000}));
	await waitFor(async () => await getStatus(send({path: '/payments/1', method: 'POST', body: 'x'.repeat(1001)})) === 413);
	const countRequests = () => Object.values(endpoints).flat().flatMap(endpoint => endpoint.requests).length;
	const before = countRequests();
	const {received} = await sendUntilClosed(settings.listen.callers, buildRequestHead('/reads/1', 'large-1', `x-filler: ${'x'.repeat(2500)}\r\n`));
	t.match(received, /^HTTP\/1\.1 431 /v);
	t.match(received, /tanagerrail-outcome: not-run/v);
	t.equal(countRequests(), before);
	t.equal(await getStatus(send({path: '/payments/1', method: 'POST', body: 'x'.repeat(1000)})), 200, 'a body of exactly the limit is accepted');
});

test('connections with incomplete headers and idle connections are closed after the configured timeouts', async t => {
	const {store, settings, send} = await startEdgeHost(t);
	store.put('op', 'config', buildConfiguration(2, standardRoutes, {header_timeout_ms: 400, idle_timeout_ms: 500, max_body_bytes: 1000}));
	await waitFor(async () => await getStatus(send({path: '/payments/1', method: 'POST', body: 'x'.repeat(1001)})) === 413);
	const [stopped, idle] = await Promise.all([
		sendUntilClosed(settings.listen.callers, 'GET /reads/1 HTTP/1.1\r\nhost: site.ex'),
		sendUntilClosed(settings.listen.callers, buildRequestHead('/reads/1', 'idle-1')),
	]);
	t.match(stopped.received, /^(?:HTTP\/1\.1 408 |$)/v);
	// Node.js checks for expired header timeouts once a second.
	t.ok(stopped.milliseconds >= 400 && stopped.milliseconds < 2000, `headers: ${stopped.milliseconds} ms`);
	t.match(idle.received, /^HTTP\/1\.1 200 /v);
	t.match(idle.received, /keep-alive: timeout=/iv, 'the keep-alive header announces the idle timeout');
	// Node.js closes an idle connection one second later than announced, so that a request in transit is not lost.
	t.ok(idle.milliseconds >= 500 && idle.milliseconds < 3000, `idle: ${idle.milliseconds} ms`);
});

test('connection: close from a caller or an endpoint closes only the connection on that side', async t => {
	const {endpoints, settings, send} = await startEdgeHost(t, {services: {reads: 1, payments: 1}});
	const {received} = await sendUntilClosed(settings.listen.callers, buildRequestHead('/reads/1', 'close-1', 'connection: close\r\n'));
	t.match(received, /^HTTP\/1\.1 200 [\s\S]*connection: close/iv);
	const [endpoint] = endpoints.reads!;
	endpoint!.behaviour = ({id, target}, res) => {
		res.writeHead(200, {'x-attempt-id': id, 'x-server-seal': '1.2.3', connection: 'close'}).end(`ran ${target}`);
	};

	for (let count = 0; count < 3; count++) {
		const {status, headers} = await send({});
		t.equal(status, 200);
		t.not(headers.connection, 'close', 'the connection of the caller stays open');
	}
});

test('the response of an endpoint that does not wait for the end of a long body is returned', async t => {
	const {endpoints, send} = await startEdgeHost(t);
	for (const endpoint of endpoints.payments!) {
		endpoint.respondsBeforeBody = true;
	}

	const {status, body} = await send({path: '/payments/early', method: 'POST', body: 'x'.repeat(900_000)});
	t.equal(status, 200);
	t.equal(body, 'ran /payments/early');
	t.equal(endpoints.payments!.flatMap(({requests}) => requests).length, 1, 'the request is sent once');
});

test('a malformed configuration leaves the current one in force, and the next valid one is applied', async t => {
	const {store, settings, send} = await startEdgeHost(t);
	store.put('op', 'config', {version: 'r2', routes: 'none'});
	await wait(300);
	t.equal(await getStatus(send({})), 200);
	store.put('op', 'config', buildConfiguration(3, [{path_prefix: '/others/', type: 'safe', service: 'reads'}]));
	await waitFor(async () => await getStatus(sendRequest(settings.listen.callers, {path: '/others/1'})) === 200);
	t.equal(await getStatus(send({})), 404, 'the route of the previous configuration no longer exists');
});
