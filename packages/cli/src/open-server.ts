import type {Server} from 'node:http';

/**
 * Splits an address into host and port.
 *
 * @param address - `ip:port`.
 * @returns Host and port.
 */
export function parseAddress(address: string): {host: string; port: number} {
	const [host = '', port = '0'] = address.split(':');
	return {host, port: Number(port)};
}

/**
 * Starts a server and waits until it listens.
 *
 * @param server - The server.
 * @param address - `ip:port` to listen on.
 */
export async function openServer(server: Server, address: string): Promise<void> {
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}
