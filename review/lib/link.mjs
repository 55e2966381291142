
// A link between clients and one edge host: a delay in each direction and a window, as in the platform's network.
import net from 'node:net';

/** Passes bytes on after a delay, at most one window of them per round trip, and the end or reset after them. */
function pump(from, to, {delayMilliseconds, windowBytes}) {
	const roundTrip = Math.max(1, 2 * delayMilliseconds);
	let inFlight = 0;
	let hasEnded = false;
	const later = action => setTimeout(action, delayMilliseconds);
	const readMore = () => {
		while (inFlight < windowBytes) {
			const chunk = from.read(Math.min(from.readableLength, windowBytes - inFlight)) ?? undefined;
			if (chunk === undefined) {
				return;
			}

			inFlight += chunk.length;
			later(() => to.destroyed || to.write(chunk));
			setTimeout(() => {
				inFlight -= chunk.length;
				readMore();
			}, roundTrip);
		}
	};

	from.on('readable', readMore);
	from.on('end', () => {
		hasEnded = true;
		later(() => to.destroyed || to.end());
	});
	from.on('error', () => {
		hasEnded = true;
		later(() => to.destroyed || to.resetAndDestroy());
	});
	from.on('close', () => {
		if (!hasEnded) {
			later(() => to.destroyed || to.resetAndDestroy());
		}
	});
}

export class Link {
	#sockets = new Set();

	constructor({target, delayMilliseconds = 8, windowBytes = 65_536}) {
		Object.assign(this, {target, delayMilliseconds, windowBytes});
		this.server = net.createServer({allowHalfOpen: true, pauseOnConnect: true}, near => {
			const [host, port] = this.target.split(':');
			const far = net.connect({
				host, port: Number(port), allowHalfOpen: true, highWaterMark: 16_384,
			});
			for (const socket of [near, far]) {
				this.#sockets.add(socket);
				socket.once('close', () => this.#sockets.delete(socket));
			}

			pump(near, far, this);
			pump(far, near, this);
		});
	}

	async start(host) {
		await new Promise(resolve => {
			this.server.listen(0, host, resolve);
		});
		const {address, port} = this.server.address();
		this.front = `${address}:${port}`;
	}

	stop() {
		this.server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}
