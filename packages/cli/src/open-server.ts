import type {Server} from 'node:http';

/**
 * Parses an address.
 *
 * @param address - `ip:port`.
 * @returns Its parts.
 */
export function parseAddress(address: string): {host: string; port: number} {
	const [host = '', port = '0'] = address.split(':');
	return {host, port: Number(port)};
}

/**
 * Opens a server.
 *
 * @param server - The server.
 * @param address - `ip:port` on which it listens.
 */
export async function openServer(server: Server, address: string): Promise<void> {
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}
