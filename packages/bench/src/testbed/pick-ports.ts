import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

// Below the kernel's usual range of ephemeral ports (32768 to 60999), from which an outgoing connection or a listener on
// port 0 could take a picked port before its process listens.
const firstPort = 10_000;
const lastPort = 32_000;
const maximumTries = 200;

/**
 * Picks free TCP ports on the loopback address. All are held open until the last one is known, so that they differ.
 *
 * @param count - Number of ports.
 * @returns The ports.
 * @throws Error when too few ports are free.
 */
export async function pickPorts(count: number): Promise<number[]> {
	const servers = new Map<number, Server>();
	for (let tries = 0; servers.size < count && tries < maximumTries + count; tries++) {
		const port = randomInt(firstPort, lastPort);
		const server = await openServer(port);
		if (server) {
			servers.set(port, server);
		}
	}

	await Promise.all([...servers.values()].map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	if (servers.size < count) {
		throw new Error(`found ${servers.size} free ports, expected ${count}`);
	}

	return [...servers.keys()];
}

async function openServer(port: number): Promise<Server | undefined> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}
