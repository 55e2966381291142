import type {Socket} from 'node:net';

/** Longest time for which a connection that was closed on this side stays open for the other side, in milliseconds. */
export const lingerMilliseconds = 3000;

/**
 * Closes the sending side of a caller's connection and discards what still arrives, until the caller closes its side too. If the
 * whole connection were closed, a request that crosses the close would be answered with a reset, and the reset discards the
 * part of the last response that has not reached the caller.
 *
 * @param socket - The connection; what has been written to it is still sent.
 */
export function closeAfterDelivery(socket: Socket): void {
	if (socket.destroyed || socket.writableEnded) {
		return;
	}

	socket.end();
	socket.resume();
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMilliseconds);
	timer.unref();
	socket.once('close', () => {
		clearTimeout(timer);
	});
}
