import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {test, type Test} from 'tap';
import {readMonotonicClock} from '@tanagerrail/telemetry';
import {ConnectionPool} from '../src/connection-pool.js';
import {Exchange} from '../src/exchange.js';

async function startExchange(t: Test, listener: RequestListener, bufferLimitBytes: number): Promise<{exchange: Exchange; pool: ConnectionPool}> {
	const server = createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const pool = new ConnectionPool({address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: readMonotonicClock});
	t.teardown(() => {
		pool.close();
		server.close();
		server.closeAllConnections();
	});
	const exchange = new Exchange({
		pool, connection: pool.open(), bufferLimitBytes, request: {
			method: 'GET', target: '/', headers: {host: 'h'}, body: undefined,
		},
	});
	return {exchange, pool};
}

test('guards against a large body that is reordered or truncated when the caller reads slowly', async t => {
	const body = Buffer.alloc(3_000_000, 'abcdefghij');
	const {exchange, pool} = await startExchange(t, (_, res) => {
		res.end(body);
	}, 100_000);
	const result = await exchange.result;
	const response = result._unsafeUnwrap();
	t.equal(response.isComplete, false);
	const chunks = [response.body];
	let writes = 0;
	const isComplete = await response.streamRest(async chunk => {
		chunks.push(Buffer.from(chunk));
		writes += 1;
		return writes % 3 === 0 ? wait(2) : undefined;
	});
	t.equal(isComplete, true);
	t.ok(Buffer.concat(chunks).equals(body));
	t.ok(pool.takeIdle(), 'the connection is kept');
});

test('guards against a truncated body that looks complete', async t => {
	const {exchange} = await startExchange(t, (_, res) => {
		res.writeHead(200, {'content-length': 1_000_000});
		res.write(Buffer.alloc(300_000));
		setTimeout(() => {
			res.destroy();
		}, 50);
	}, 100_000);
	const result = await exchange.result;
	const response = result._unsafeUnwrap();
	t.equal(await response.streamRest(() => undefined), false);
});

test('a request whose connection could not be opened was not sent', async t => {
	const pool = new ConnectionPool({address: '127.0.0.1:1', clock: readMonotonicClock});
	const exchange = new Exchange({
		pool, connection: pool.open(), bufferLimitBytes: 1000, request: {
			method: 'POST', target: '/', headers: {host: 'h'}, body: Buffer.from('x'),
		},
	});
	const result = await exchange.result;
	t.match(result._unsafeUnwrapErr(), {wasSent: false});
});

test('a request whose connection breaks after it was sent may have run', async t => {
	const {exchange} = await startExchange(t, req => {
		req.socket.destroy();
	}, 1000);
	const result = await exchange.result;
	t.match(result._unsafeUnwrapErr(), {wasSent: true});
});
