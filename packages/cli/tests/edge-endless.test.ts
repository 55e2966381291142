import {once} from 'node:events';
import type {Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {test} from 'tap';
import type {RoutedBehaviour} from '@tanagerrail/stand-ins';
import {
	buildRequestHead, getStatus, openSocket, startEdgeHost, waitFor,
} from './fixtures/edge-fixture.js';

/** Creates a behaviour that writes a start and then text without end, as fast as the connection takes it. */
function createEndlessBehaviour(start: (id: string) => string, repeated: string): RoutedBehaviour {
	return ({id}, _, socket) => {
		const pump = () => {
			while (!socket.destroyed && socket.write(repeated)) {/* Writes until the buffer is full. */}
		};

		socket.on('drain', pump);
		socket.write(start(id));
		pump();
	};
}

const buildHead = (id: string) => `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\n`;

const endlessHeads: Readonly<Record<string, RoutedBehaviour>> = {
	'informational responses': createEndlessBehaviour(() => '', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500)),
	'header lines': createEndlessBehaviour(() => 'HTTP/1.1 200 OK\r\n', 'a: b\r\n'.repeat(500)),
	'a chunk extension': createEndlessBehaviour(id => `${buildHead(id)}5;`, 'x'.repeat(10_000)),
};

for (const [title, behaviour] of Object.entries(endlessHeads)) {
	test(`an endpoint that sends ${title} without end costs its own request one retry`, async t => {
		const {endpoints, send} = await startEdgeHost(t, {services: {reads: 2, payments: 1}});
		const [broken, sound] = endpoints.reads!;
		const sendAll = async () => Promise.all(Array.from({length: 10}, async () => getStatus(send({}))));
		// The first requests of a process take several times as long as later ones, which would use up the objective of the route.
		await sendAll();
		const [brokenBefore, soundBefore] = [broken!.requests.length, sound!.requests.length];
		broken!.behaviour = behaviour;
		t.same(new Set(await sendAll()), new Set([200]));
		t.ok(sound!.requests.length - soundBefore >= 10);
		t.ok(broken!.requests.slice(brokenBefore).every(({isCancelled}) => isCancelled), 'its connections are closed');
	});
}

const failureHeads: Readonly<Record<string, (id: string) => string>> = {
	'a failure': id => `HTTP/1.1 500 Failed\r\ntransfer-encoding: chunked\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\n\r\n`,
	'a refusal': id => `HTTP/1.1 503 Refused\r\ntransfer-encoding: chunked\r\nx-attempt-id: ${id}\r\nx-not-executed: 1\r\n\r\n`,
};

for (const [title, buildFailureHead] of Object.entries(failureHeads)) {
	test(`guards against connections that stay open after ${title} without end whose request another endpoint has answered`, async t => {
		const {endpoints, send} = await startEdgeHost(t, {services: {reads: 2, payments: 1}});
		const [broken] = endpoints.reads!;
		broken!.behaviour = createEndlessBehaviour(buildFailureHead, `2710\r\n${'x'.repeat(10_000)}\r\n`);
		const statuses = await Promise.all(Array.from({length: 10}, async () => getStatus(send({}))));
		t.same(new Set(statuses), new Set([200]));
		t.ok(broken!.requests.length > 0);
		await waitFor(() => broken!.requests.every(({isCancelled}) => isCancelled));
		t.ok(broken!.requests.every(({isCancelled}) => isCancelled), 'its connections are closed');
	});
}

test('a body without end is cut off when the wait of its caller ends', async t => {
	const {endpoints, settings} = await startEdgeHost(t, {services: {reads: 1, payments: 1}});
	const [endpoint] = endpoints.reads!;
	endpoint!.behaviour = createEndlessBehaviour(buildHead, `2710\r\n${'x'.repeat(10_000)}\r\n`);
	const socket = openSocket(settings.listen.callers);
	let last = '';
	socket.on('data', chunk => {
		last = String(chunk).slice(-20);
	});
	socket.on('error', () => undefined);
	const startedAt = performance.now();
	socket.write(buildRequestHead('/reads/1', 'endless-1').replace('x-deadline-ms: 5000', 'x-deadline-ms: 700'));
	await once(socket, 'close');
	const milliseconds = performance.now() - startedAt;
	t.ok(milliseconds > 600 && milliseconds < 2000, `closed after ${Math.round(milliseconds)} ms`);
	t.notMatch(last, /0\r\n\r\n$/v, 'the response does not look complete');
	await waitFor(() => endpoint!.requests.every(({isCancelled}) => isCancelled));
});

/** Sends text and collects what the host responds. */
function openConversation(address: string, text: string): {socket: Socket; read: () => string} {
	const socket = openSocket(address);
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
	});
	socket.on('error', () => undefined);
	socket.write(text);
	return {socket, read: () => received};
}

test('a body that never arrives in full is refused when the wait of its caller ends', async t => {
	const {endpoints, settings} = await startEdgeHost(t);
	const head = 'POST /payments/1 HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: slow-1\r\nx-deadline-ms: 400\r\ntransfer-encoding: chunked\r\n\r\n';
	const {socket, read} = openConversation(settings.listen.callers, head);
	const drip = setInterval(() => {
		socket.write('1\r\nx\r\n');
	}, 20);
	t.teardown(() => {
		clearInterval(drip);
		socket.destroy();
	});
	await Promise.race([once(socket, 'close'), wait(2000)]);
	t.match(read(), /^HTTP\/1\.1 408 [\s\S]*"outcome":"not-run"/v);
	t.equal(endpoints.payments!.flatMap(({requests}) => requests).length, 0);
});

test('a request with a malformed field name is refused and ends its connection', async t => {
	const {endpoints, settings} = await startEdgeHost(t);
	const request = buildRequestHead('/reads/1', 'smuggled-1', 'd : 1\r\n');
	const {socket, read} = openConversation(settings.listen.callers, request + buildRequestHead('/reads/2', 'smuggled-2'));
	await once(socket, 'close');
	t.match(read(), /^HTTP\/1\.1 400 [\s\S]*connection: close/iv);
	t.equal(read().match(/HTTP\/1\.1 /gv)?.length, 1, 'nothing that follows is taken for a request');
	t.equal(endpoints.reads!.flatMap(({requests}) => requests).length, 0);
});

test('a response with a malformed field name is not forwarded', async t => {
	const {endpoints, send} = await startEdgeHost(t, {services: {reads: 2, payments: 1}});
	endpoints.reads![0]!.behaviour = ({id}, _, socket) => {
		socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-attempt-id: ${id}\r\nx-server-seal: 1.2.3\r\nd : 1\r\n\r\nok`);
	};

	const bodies = await Promise.all(Array.from({length: 8}, async () => send({})));
	t.ok(bodies.every(({status, body}) => status === 200 && body.startsWith('ran ')));
});
