import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {errAsync} from 'neverthrow';
import {test, type Test} from 'tap';
import {defaultServiceConfiguration, type Configuration} from '@tanagerrail/configuration';
import {createFailure} from '@tanagerrail/results';
import {RetryBudget} from '@tanagerrail/routing';
import {createMetrics, readMonotonicClock} from '@tanagerrail/telemetry';
import {createServiceListener} from '../src/create-service-listener.js';
import {EndpointConnections} from '../src/endpoint-connections.js';
import {defaultRequestLimits, type RequestLimits} from '../src/request-limits.js';
import {createDraw, generateMalformed} from './fixtures/generate-malformed.js';

const configuration: Configuration = {
	revision: 1,
	measuring: {probesPerSecond: 1, bytesPerSecond: 1024},
	tableWritesPerSecond: 1,
	services: [{
		...defaultServiceConfiguration,
		name: 'a',
		workClasses: [{
			name: 'r', kind: 'short', priority: 'normal', usualMilliseconds: 1, longestMilliseconds: 10, deadlineMilliseconds: 1000, hedge: false,
		}],
		routes: [{
			method: '*', path: '/**', workClass: 'r', idempotent: true,
		}],
	}],
};

/** Starts a listener whose slot source records each request that reaches it, and refuses it after `holdMilliseconds`. */
async function startListener(t: Test, limits: Partial<RequestLimits>, holdMilliseconds: readonly number[] = [0]) {
	const reached: string[] = [];
	const listener = createServiceListener({
		limits: {...defaultRequestLimits, ...limits},
		context: {
			hostId: 'h',
			clock: readMonotonicClock,
			slots: {
				acquire({fingerprint}) {
					const milliseconds = holdMilliseconds[reached.length] ?? holdMilliseconds.at(-1);
					reached.push(fingerprint);
					return errAsync(createFailure('no-endpoint', {service: 'a'})).mapErr(async failure => {
						await wait(milliseconds);
						return failure;
					});
				},
			},
			connections: new EndpointConnections({
				clock: readMonotonicClock, connections: 1, connectTimeout: 1, idleTimeout: 1,
			}),
			claims: {
				claim: () => errAsync(createFailure('store-unavailable')),
				recordDispatch: () => false,
				recordNotRun: () => undefined,
				storeOutcome: async () => undefined,
				remove: async () => undefined,
				drain: async () => undefined,
			},
			metrics: createMetrics(),
			getConfiguration: () => configuration,
			getRetryBudget: () => new RetryBudget(),
			record: () => undefined,
		},
	});
	const port = await listener.start({host: '127.0.0.1', port: 0});
	t.teardown(() => {
		listener.stop();
		listener.abort();
	});
	return {port, reached, listener};
}

const completeRefusal = /^HTTP\/1\.1 \d+ [\s\S]*?\r\n\r\n\{.*\}$/v;

/** Sends bytes and reads until the connection closes, or until a complete refusal is received. */
async function sendBytes(port: number, bytes: string, {endsAfter = false, untilClosed = false} = {}): Promise<string> {
	const socket = net.connect(port, '127.0.0.1');
	let text = '';
	socket.setEncoding('latin1');
	socket.on('data', chunk => {
		text += String(chunk);
		if (!untilClosed && completeRefusal.test(text)) {
			socket.destroy();
		}
	});
	socket.on('error', () => undefined);
	const closed = once(socket, 'close');
	socket.write(bytes, 'latin1');
	if (endsAfter) {
		socket.end();
	}

	await closed;
	return text;
}

function measureHeap(): number {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
	return process.memoryUsage().heapUsed;
}

test('ten thousand malformed requests get a 4xx or a closed connection, reach no endpoint and leak no memory', async t => {
	const seed = Number(process.env.TANAGERRAIL_SEED ?? 20);
	const draw = createDraw(seed);
	const {port, reached} = await startListener(t, {bodyBytes: 1024, headersMilliseconds: 500, requestMilliseconds: 1000});
	const unexpected: string[] = [];
	const runBatch = async (count: number) => Promise.all(Array.from({length: 20}, async () => {
		for (let index = 0; index < count / 20; index++) {
			const {kind, bytes, isIncomplete} = generateMalformed(draw);
			const text = await sendBytes(port, bytes, {endsAfter: isIncomplete});
			if (text !== '' && !/^HTTP\/1\.1 4\d\d /v.test(text)) {
				unexpected.push(`${kind}: ${JSON.stringify(bytes.slice(0, 200))} -> ${text.slice(0, 60)}`);
			}
		}
	}));
	await runBatch(2000);
	const before = measureHeap();
	await runBatch(8000);
	const growth = measureHeap() - before;
	t.same(unexpected.slice(0, 5), [], `seed ${seed}`);
	t.same(reached, []);
	t.ok(growth < 4_000_000, `heap grew by ${growth} bytes`);
	t.match(await sendBytes(port, 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'), /^HTTP\/1\.1 503 /v);
	t.equal(reached.length, 1, 'a well-formed request still reaches the slot source');
});

test('malformed requests get the result code of their fault', async t => {
	const {port} = await startListener(t, {bodyBytes: 1024});
	const cases: Array<[string, number, number]> = [
		['GET http://a/x HTTP/1.1\r\nhost: a\r\n\r\n', 400, 1001],
		['POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n', 400, 1001],
		[`GET /x HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`, 431, 1004],
		['POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 1025\r\n\r\n', 413, 1003],
	];
	for (const [bytes, status, code] of cases) {
		const text = await sendBytes(port, bytes);
		t.match(text, new RegExp(`^HTTP/1.1 ${status} [\\s\\S]*application/problem\\+json[\\s\\S]*"code":${code},"outcome":"not-run"`, 'v'), bytes.slice(0, 40));
	}
});

test('incomplete headers and incomplete bodies time out', async t => {
	const {port, reached} = await startListener(t, {headersMilliseconds: 100, requestMilliseconds: 200});
	t.match(await sendBytes(port, 'GET /x HTTP/1.1\r\nhos'), /^HTTP\/1.1 408 [\s\S]*"code":1005/v);
	t.match(await sendBytes(port, 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc'), /^HTTP\/1.1 408 [\s\S]*"code":1005/v);
	t.same(reached, []);
});

test('pipelined requests are limited, and invalid input behind a running request gets no response', async t => {
	const {port, reached} = await startListener(t, {pipelinedRequests: 4}, [50]);
	const request = 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n';
	const text = await sendBytes(port, request.repeat(7) + request.replace('a\r\n', 'a\r\nconnection: close\r\n'), {untilClosed: true});
	t.equal(text.match(/"code":1008/gv)?.length, 4);
	t.equal(reached.length, 4);
	t.match(await sendBytes(port, `${request}garbage\r\n\r\n`), /"outcome":"not-run"/v);
	t.equal(reached.length, 4, 'a request that is answered as not run does not run');
	const socket = net.connect(port, '127.0.0.1');
	socket.write(request);
	while (reached.length < 5) {
		await wait(1);
	}

	socket.write('garbage\r\n\r\n');
	let received = 0;
	socket.on('data', chunk => {
		received += chunk.length;
	});
	socket.on('error', () => undefined);
	await once(socket, 'close');
	t.equal(received, 0);
});

test('guards against a request that is lost because its connection is accepted just before the listener stops', async t => {
	const {port, reached, listener} = await startListener(t, {});
	const socket = net.connect(port, '127.0.0.1');
	await once(socket, 'connect');
	await wait(20);
	listener.stop();
	t.equal(listener.connectionsAwaitingRequest, 1);
	socket.write('GET /x HTTP/1.1\r\nhost: a\r\n\r\n');
	const [chunk] = await once(socket, 'data') as [Uint8Array];
	t.match(String(chunk), /^HTTP\/1\.1 503 [\s\S]*connection: close/v);
	t.equal(reached.length, 1);
	t.equal(listener.connectionsAwaitingRequest, 0);
	socket.destroy();
});

test('guards against a request that runs without a response because it arrives while its connection closes', async t => {
	const {port, reached, listener} = await startListener(t, {});
	const socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
	const request = 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n';
	socket.write(request);
	await once(socket, 'data');
	t.equal(reached.length, 1);
	listener.stop();
	socket.write(request);
	await wait(100);
	t.equal(reached.length, 1, 'it is ignored, so its caller may send it again');
	socket.destroy();
});

test('guards against a shutdown that is prolonged by a new request behind a running one', async t => {
	const {port, reached, listener} = await startListener(t, {}, [200]);
	const socket = net.connect({port, host: '127.0.0.1'});
	const request = 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n';
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
	});
	socket.write(request);
	while (reached.length === 0) {
		await wait(1);
	}

	listener.stop();
	socket.write(request);
	await once(socket, 'close');
	t.equal(received.match(/HTTP\/1\.1 503 /gv)?.length, 1);
	t.match(received, /connection: close/v, 'the caller may send the requests behind it again');
	t.equal(reached.length, 1);
});

test('guards against a shutdown that is prolonged by a new request behind a response that waits to be sent', async t => {
	const {port, reached, listener} = await startListener(t, {}, [300, 0]);
	const socket = net.connect({port, host: '127.0.0.1'});
	const request = 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n';
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
	});
	socket.write(request.repeat(2));
	while (reached.length < 2) {
		await wait(1);
	}

	await wait(50);
	listener.stop();
	socket.write(request);
	await once(socket, 'close');
	t.equal(received.match(/HTTP\/1\.1 503 /gv)?.length, 2);
	t.equal(reached.length, 2, 'the third one is ignored');
});
