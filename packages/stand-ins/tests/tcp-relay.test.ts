import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import t from 'tap';
import {RelayCut, RelayDirection, TcpRelay} from '../src/tcp-relay.js';

async function startEcho(): Promise<{address: string; received: () => string; stop: () => void}> {
	let received = '';
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => socket.destroy());
		socket.on('data', (chunk: Uint8Array) => {
			received += Buffer.from(chunk).toString();
			socket.write(chunk);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	return {
		address: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`,
		received: () => received,
		stop() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

async function openClient(address: string): Promise<{socket: Socket; received: () => string; failure: Promise<string>}> {
	const socket = connect({host: address.split(':')[0], port: Number(address.split(':')[1])});
	let received = '';
	socket.on('data', (chunk: Uint8Array) => {
		received += Buffer.from(chunk).toString();
	});
	const failure = new Promise<string>(resolve => {
		socket.once('error', error => {
			resolve((error as NodeJS.ErrnoException).code ?? '');
		});
	});
	await once(socket, 'connect');
	return {socket, received: () => received, failure};
}

async function waitMilliseconds(milliseconds: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

async function waitFor(condition: () => boolean): Promise<void> {
	for (let tries = 0; tries < 400 && !condition(); tries++) {
		await waitMilliseconds(5);
	}
}

// Each row guards against a cut that lets bytes through in its own direction or drops them in the other one.
const cuts = [
	{direction: RelayDirection.forward, isRequestSeen: false},
	{direction: RelayDirection.back, isRequestSeen: true},
	{direction: RelayDirection.both, isRequestSeen: false},
] as const;
for (const {direction, isRequestSeen} of cuts) {
	t.test(`a silent cut (${direction}) drops bytes until it is restored`, async t => {
		const echo = await startEcho();
		const relay = new TcpRelay(echo.address);
		const address = await relay.start();
		t.teardown(() => {
			relay.stop();
			echo.stop();
		});
		const client = await openClient(address);
		client.socket.write('a');
		await waitFor(() => client.received() === 'a');
		relay.disconnect(RelayCut.silent, direction);
		client.socket.write('b');
		await Promise.race([waitFor(() => echo.received() === 'ab'), waitMilliseconds(50)]);
		t.equal(echo.received(), isRequestSeen ? 'ab' : 'a');
		t.equal(client.received(), 'a');
		await relay.restore();
		t.equal(await client.failure, 'ECONNRESET', 'a stream with missing bytes is not continued');
		const next = await openClient(address);
		next.socket.write('c');
		await waitFor(() => next.received() === 'c');
		next.socket.destroy();
	});
}

t.test('a reset closes open connections, and silencing open connections does not affect new ones', async t => {
	const echo = await startEcho();
	const relay = new TcpRelay(echo.address);
	const address = await relay.start();
	t.teardown(() => {
		relay.stop();
		echo.stop();
	});
	const old = await openClient(address);
	await waitFor(() => relay.connections === 1);
	relay.disconnectOpenConnections();
	old.socket.write('lost');
	const next = await openClient(address);
	next.socket.write('kept');
	await waitFor(() => next.received() === 'kept');
	t.equal(old.received(), '');
	relay.disconnect(RelayCut.reset);
	t.equal(await next.failure, 'ECONNRESET');
	await t.rejects(openClient(address), {code: 'ECONNREFUSED'});
	await relay.restore();
	const restored = await openClient(address);
	restored.socket.destroy();
	old.socket.destroy();
});

t.test('a relay refuses connections while its target does not listen', async t => {
	const echo = await startEcho();
	const relay = new TcpRelay(echo.address);
	const address = await relay.start();
	t.teardown(() => {
		relay.stop();
	});
	const client = await openClient(address);
	client.socket.write('a');
	await waitFor(() => client.received() === 'a');
	const closed = once(client.socket, 'close');
	echo.stop();
	await closed;
	await waitMilliseconds(20);
	await t.rejects(openClient(address), {code: 'ECONNREFUSED'}, 'connections to a target that is down are refused, not accepted and then closed');
});
