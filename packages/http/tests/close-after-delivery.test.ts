import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {test, type Test} from 'tap';
import {readMonotonicClock} from '@tanagerrail/telemetry';
import {CallerListener} from '../src/caller-listener.js';
import {defaultRequestLimits} from '../src/request-limits.js';
import type {ReceivedRequest} from '../src/request-receiver.js';

const bodyBytes = 400_000;
const request = 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n';

/** Starts a listener that responds to each request with a large body after a time. */
async function startListener(t: Test, responseMilliseconds: number) {
	const listener = new CallerListener<ReceivedRequest>({
		clock: readMonotonicClock,
		limits: defaultRequestLimits,
		receiver: {
			readId: () => 'r',
			receive: async () => ok({id: 'r'}),
			async serve(_, res, beforeHead) {
				await wait(responseMilliseconds);
				beforeHead();
				res.writeHead(200, {'content-length': bodyBytes});
				res.end(Buffer.alloc(bodyBytes, 'x'));
				return ok(undefined);
			},
			buildRefusalHeaders: () => ({}),
			countRefusal: () => undefined,
		},
	});
	const port = await listener.start({host: '127.0.0.1', port: 0});
	t.teardown(() => {
		listener.stop();
		listener.abort();
	});
	return {listener, port};
}

/** Opens a connection whose caller reads nothing until `readAll` is called; that returns what arrives until the connection ends. */
function openSlowCaller(port: number) {
	const socket = net.connect({port, host: '127.0.0.1'});
	const errors: string[] = [];
	socket.on('error', (error: NodeJS.ErrnoException) => {
		errors.push(error.code ?? error.message);
	});
	socket.pause();
	return {
		socket,
		errors,
		async readAll() {
			let text = '';
			socket.setEncoding('latin1').on('data', chunk => {
				text += String(chunk);
			});
			socket.resume();
			await once(socket, 'close');
			return text;
		},
	};
}

/** Ways in which a response becomes the last one of its connection. */
const closings: Readonly<Record<string, {readonly first: string; readonly drains: boolean}>> = {
	'a planned stop': {first: request, drains: true},
	'the wish of the caller': {first: request.replace('host', 'connection: close\r\nhost'), drains: false},
};

for (const [title, {first, drains}] of Object.entries(closings)) {
	test(`guards against a response that is cut off because a request crosses the close after ${title}`, async t => {
		const {listener, port} = await startListener(t, 50);
		const {socket, errors, readAll} = openSlowCaller(port);
		socket.write(first);
		if (drains) {
			listener.drain();
		}

		// The response has been written in full and has not been read.
		await wait(150);
		t.equal(listener.inProgress, 0);
		socket.write(request);
		await wait(50);
		const text = await readAll();
		t.same(errors, []);
		t.match(text, /^HTTP\/1\.1 200 [\s\S]*connection: close/iv);
		t.equal(text.length - text.indexOf('\r\n\r\n') - 4, bodyBytes, 'the response is complete, and nothing follows it');
	});
}

test('guards against the end of a process whose last responses have not been received', async t => {
	const {listener, port} = await startListener(t, 50);
	const {socket, readAll} = openSlowCaller(port);
	socket.write(request);
	listener.drain();
	await wait(150);
	listener.stop();
	t.equal(listener.connectionsAwaitingClose, 1);
	await readAll();
	await wait(20);
	t.equal(listener.connectionsAwaitingClose, 0);
});

test('a refusal reaches a caller that still sends the body of its request', async t => {
	const {port} = await startListener(t, 0);
	const {socket, errors, readAll} = openSlowCaller(port);
	// A transfer coding is not valid together with a length, so the request is refused before its body has arrived.
	socket.write('POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n');
	await wait(50);
	socket.write('x'.repeat(300_000));
	await wait(50);
	const text = await readAll();
	t.same(errors, []);
	t.match(text, /^HTTP\/1\.1 400 /v);
});

test('a connection whose caller does not close is closed after a while', async t => {
	const {listener, port} = await startListener(t, 0);
	const socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
	socket.on('error', () => undefined);
	socket.resume();
	socket.write(request);
	await wait(50);
	listener.stop();
	await once(socket, 'end');
	t.equal(listener.connectionsAwaitingClose, 1);
	const startedAt = performance.now();
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	const drip = setInterval(() => {
		socket.write('GET /');
	}, 50);
	t.teardown(() => {
		clearInterval(drip);
	});
	await closed;
	const milliseconds = performance.now() - startedAt;
	t.ok(milliseconds < 4000, `closed after ${Math.round(milliseconds)} ms`);
});
