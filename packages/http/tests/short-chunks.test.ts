import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {test, type Test} from 'tap';
import {Exchange} from '../src/exchange.js';
import {readBody} from '../src/read-body.js';
import {startRawEndpoint} from './fixtures/raw-endpoint.js';

const chunkCount = 500_000;
const shortChunk = '1\r\nx\r\n';
const shortChunks = shortChunk.repeat(chunkCount);

/** Heap that a body of 500,000 bytes may take, in bytes; a buffer for each chunk would take some 90 bytes for each byte. */
const maximumHeapBytes = 8 * 1024 * 1024;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function readHeapBytes(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

async function waitUntilRead(socket: () => Socket | undefined): Promise<void> {
	while ((socket()?.bytesRead ?? 0) < shortChunks.length) {
		await wait(10);
	}

	await wait(50);
}

test('guards against responses in short chunks that take a multiple of their size in memory', async t => {
	const {pool} = await startRawEndpoint(t, socket => {
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${shortChunks}`);
		});
	});
	const connection = pool.open();
	const before = readHeapBytes();
	const exchange = new Exchange({
		pool, connection, bufferLimitBytes: 1_048_576, request: {
			method: 'GET', target: '/', headers: {host: 'h'}, body: undefined,
		},
	});
	await waitUntilRead(() => connection.socket);
	const taken = readHeapBytes() - before;
	t.ok(taken < maximumHeapBytes, `the heap grew by ${taken} bytes`);
	exchange.abort();
	await exchange.result;
});

/** Starts a server that hands each request to a function. */
async function startServer(t: Test, handle: (req: IncomingMessage) => void): Promise<number> {
	const server = createServer(handle);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return (server.address() as AddressInfo).port;
}

test('guards against request bodies in short chunks that take a multiple of their size in memory', async t => {
	let received: Socket | undefined;
	const port = await startServer(t, req => {
		received = req.socket;
		void readBody(req, {bytes: 1_048_576, milliseconds: 60_000});
	});
	const before = readHeapBytes();
	const caller = connect(port, '127.0.0.1');
	caller.write(`POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${shortChunks}`);
	await waitUntilRead(() => received);
	const taken = readHeapBytes() - before;
	t.ok(taken < maximumHeapBytes, `the heap grew by ${taken} bytes`);
	caller.destroy();
});

test('a streamed body in short chunks reaches the caller in order and in few writes', async t => {
	const digits = Array.from({length: 100_000}, (_, index) => `1\r\n${index % 10}\r\n`).join('');
	const {pool} = await startRawEndpoint(t, socket => {
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${digits}0\r\n\r\n`);
		});
	});
	const exchange = new Exchange({
		pool, connection: pool.open(), bufferLimitBytes: 1000, request: {
			method: 'GET', target: '/', headers: {host: 'h'}, body: undefined,
		},
	});
	const result = await exchange.result;
	const response = result._unsafeUnwrap();
	let text = response.body.toString();
	let writes = 0;
	const isComplete = await response.streamRest(async chunk => {
		text += Buffer.from(chunk).toString();
		writes += 1;
	});
	t.ok(isComplete);
	t.equal(text, '0123456789'.repeat(10_000));
	t.ok(writes < 1000, `${writes} writes`);
});
