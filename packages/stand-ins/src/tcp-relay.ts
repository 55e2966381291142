import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {chooseLoopbackHost} from './choose-loopback-host.js';

const checkMilliseconds = 20;

/** Directions of a relay: `forward` is from the side that opened the connection, `back` is toward it. */
export const RelayDirection = {forward: 'forward', back: 'back', both: 'both'} as const;

/** `forward`, `back` or `both`. */
export type RelayDirection = typeof RelayDirection[keyof typeof RelayDirection];

/** What a cut does: `silent` discards bytes and keeps connections open, `reset` breaks and refuses connections. */
export const RelayCut = {silent: 'silent', reset: 'reset'} as const;

/** `silent` or `reset`. */
export type RelayCut = typeof RelayCut[keyof typeof RelayCut];

type Pair = {readonly outer: Socket; readonly inner: Socket; readonly silenced: Set<RelayDirection>};

/** Forwards TCP connections to one address and can be cut in one or both directions. */
export class TcpRelay {
	readonly #server: Server;
	readonly #target: {readonly host: string; readonly port: number};
	readonly #pairs = new Set<Pair>();
	readonly #silenced = new Set<RelayDirection>();
	/** An address of its own, so that nobody else takes the port while connections are refused. */
	readonly #host = chooseLoopbackHost();
	#port = 0;
	#delayMilliseconds = 0;
	#isRefusing = false;
	#isStopped = false;
	#isChecking = false;

	/**
	 * @param target - `ip:port` of the process behind the relay.
	 */
	constructor(target: string) {
		const separator = target.lastIndexOf(':');
		this.#target = {host: target.slice(0, separator), port: Number(target.slice(separator + 1))};
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#accept(socket);
		});
	}

	/** Open connections. */
	get connections(): number {
		return this.#pairs.size;
	}

	/**
	 * Starts to listen.
	 *
	 * @param port - Port; 0 picks a free one.
	 * @returns `ip:port` of the relay.
	 */
	async start(port = 0): Promise<string> {
		await this.#listen(port);
		const address = this.#server.address();
		this.#port = typeof address === 'object' && address ? address.port : port;
		return `${this.#host}:${this.#port}`;
	}

	/**
	 * Cuts the connection between the two sides until {@link TcpRelay.restore}.
	 *
	 * @param cut - `silent` also accepts new connections and discards their bytes; `reset` breaks open connections and refuses new ones.
	 * @param direction - Direction in which bytes vanish; a reset always affects both.
	 */
	disconnect(cut: RelayCut = RelayCut.silent, direction: RelayDirection = RelayDirection.both): void {
		if (cut === RelayCut.reset) {
			this.#isRefusing = true;
			this.#server.close();
			this.reset();
			return;
		}

		this.#silenced.add(direction);
	}

	/**
	 * Delays all bytes from now on, in both directions.
	 *
	 * @param milliseconds - The delay; 0 ends it.
	 */
	setDelay(milliseconds: number): void {
		this.#delayMilliseconds = milliseconds;
	}

	/** Silences the connections that are open now for good; new ones work. */
	disconnectOpen(): void {
		for (const {silenced} of this.#pairs) {
			silenced.add(RelayDirection.both);
		}
	}

	/** Ends all cuts. Connections that lost bytes are broken, because their streams can no longer be continued. */
	async restore(): Promise<void> {
		if (this.#silenced.size > 0) {
			this.reset();
		}

		this.#silenced.clear();
		if (this.#isRefusing) {
			this.#isRefusing = false;
			await this.#listen(this.#port);
		}
	}

	/** Breaks all open connections with a reset. */
	reset(): void {
		for (const {outer, inner} of this.#pairs) {
			resetSocket(outer);
			resetSocket(inner);
		}

		this.#pairs.clear();
	}

	/** Stops at once. */
	stop(): void {
		this.#isStopped = true;
		this.reset();
		this.#server.close();
	}

	async #listen(port: number): Promise<void> {
		if (this.#server.listening || this.#isStopped || this.#isRefusing) {
			return;
		}

		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, this.#host, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
	}

	/**
	 * Stops listening while the process behind the relay does not, so that its clients see refused connections and not
	 * connections that open and break.
	 */
	async #checkTarget(): Promise<void> {
		if (this.#isChecking) {
			return;
		}

		this.#isChecking = true;
		while (!this.#isStopped && !await this.#isTargetListening()) {
			this.#server.close();
			await waitMilliseconds(checkMilliseconds, undefined, {ref: false});
		}

		await this.#listen(this.#port);
		this.#isChecking = false;
	}

	async #isTargetListening(): Promise<boolean> {
		return new Promise(resolve => {
			const socket = connect(this.#target);
			socket.once('connect', () => {
				socket.destroy();
				resolve(true);
			});
			socket.once('error', () => {
				resolve(false);
			});
		});
	}

	#accept(outer: Socket): void {
		const inner = connect({...this.#target, allowHalfOpen: true});
		const pair: Pair = {outer, inner, silenced: new Set()};
		outer.setNoDelay(true);
		inner.setNoDelay(true);
		this.#pairs.add(pair);
		inner.once('close', () => {
			if (this.#pairs.has(pair)) {
				void this.#checkTarget();
			}
		});
		this.#forward(pair, RelayDirection.forward);
		this.#forward(pair, RelayDirection.back);
	}

	#forward(pair: Pair, direction: RelayDirection): void {
		const [source, sink] = direction === RelayDirection.forward ? [pair.outer, pair.inner] : [pair.inner, pair.outer];
		const deliver = this.#createDelivery();
		source.on('data', (chunk: Uint8Array) => {
			deliver(() => {
				if (!this.#isSilenced(pair, direction) && !sink.destroyed && !sink.write(chunk)) {
					source.pause();
					sink.once('drain', () => {
						source.resume();
					});
				}
			});
		});
		source.on('end', () => {
			deliver(() => {
				if (!this.#isSilenced(pair, direction)) {
					sink.end();
				}
			});
		});
		source.on('error', () => {
			source.destroy();
		});
		source.on('close', () => {
			if (this.#isSilenced(pair, direction)) {
				return;
			}

			this.#pairs.delete(pair);
			deliver(() => {
				sink.destroy();
			});
		});
	}

	/** Keeps the order of what is delivered while the delay changes. */
	#createDelivery(): (action: () => void) => void {
		let lastAt = 0;
		return action => {
			const now = performance.now();
			const at = Math.max(now + this.#delayMilliseconds, lastAt);
			if (at <= now) {
				action();
				return;
			}

			lastAt = at;
			setTimeout(action, at - now);
		};
	}

	#isSilenced({silenced}: Pair, direction: RelayDirection): boolean {
		return [this.#silenced, silenced].some(set => set.has(direction) || set.has(RelayDirection.both));
	}
}

/** Breaks a connection; libuv cannot reset a socket that was shut down, and its handle would stay open. */
function resetSocket(socket: Socket): void {
	if (socket.writableEnded || socket.destroyed) {
		socket.destroy();
		return;
	}

	socket.resetAndDestroy();
}
