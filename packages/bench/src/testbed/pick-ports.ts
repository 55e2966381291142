import {createServer, type Server} from 'node:net';

/**
 * Picks free TCP ports on the loopback address. All are held open until the last one is known, so that they differ.
 *
 * @param count - Number of ports.
 * @returns The ports.
 */
export async function pickPorts(count: number): Promise<number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => openServer()));
	const ports = servers.map(server => {
		const address = server.address();
		return typeof address === 'object' && address ? address.port : 0;
	});
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

async function openServer(): Promise<Server> {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			resolve(server);
		});
	});
}
