import type {Socket} from 'node:net';

/** Maximum number of received bytes that are parsed at once. */
export const maximumReadBytes = 4096;

/**
 * Makes the parser of a connection read in small pieces. Undici creates an error for every header line of a piece that follows
 * the limit of the head, so a large piece of short lines would keep the process busy and hold up all other requests.
 *
 * @param socket - The socket of the connection, from which undici reads without a size.
 */
export function splitReads(socket: Socket): void {
	const read = socket.read.bind(socket);
	socket.read = (size?: number) => {
		if (socket.destroyed) {
			return null;
		}

		return read(size ?? (socket.readableLength > maximumReadBytes ? maximumReadBytes : undefined)) as unknown;
	};
}
