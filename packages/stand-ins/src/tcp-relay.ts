import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {chooseLoopbackAddress} from './choose-loopback-address.js';

const targetCheckMilliseconds = 20;

/** Directions of a relay: `forward` is from the client to the target, `back` is from the target to the client. */
export const RelayDirection = {forward: 'forward', back: 'back', both: 'both'} as const;

/** Direction in which a relay forwards or drops bytes. */
export type RelayDirection = typeof RelayDirection[keyof typeof RelayDirection];

/** Kinds of network failure: `silent` drops bytes and keeps connections open, `reset` resets and refuses connections. */
export const RelayCut = {silent: 'silent', reset: 'reset'} as const;

/** Kind of network failure that a relay simulates. */
export type RelayCut = typeof RelayCut[keyof typeof RelayCut];

/** A client's connection, the relay's own one to the target, and the directions in which its bytes are dropped. */
type RelayedConnection = {readonly clientSocket: Socket; readonly targetSocket: Socket; readonly silencedDirections: Set<RelayDirection>};

/** Forwards TCP connections to one target and simulates network failures in one or both directions. */
export class TcpRelay {
	readonly #server: Server;
	readonly #target: {readonly host: string; readonly port: number};
	readonly #connections = new Set<RelayedConnection>();
	readonly #silencedDirections = new Set<RelayDirection>();
	/** A separate loopback address, so that no other process takes the port while connections are refused. */
	readonly #host = chooseLoopbackAddress();
	#port = 0;
	#delayMilliseconds = 0;
	#isRefusing = false;
	#isStopped = false;
	#isWaitingForTarget = false;

	/**
	 * @param target - `ip:port` to which connections are forwarded.
	 */
	constructor(target: string) {
		const separator = target.lastIndexOf(':');
		this.#target = {host: target.slice(0, separator), port: Number(target.slice(separator + 1))};
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#accept(socket);
		});
	}

	/** Number of open connections. */
	get connections(): number {
		return this.#connections.size;
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
	 * Simulates a network failure between clients and target until {@link TcpRelay.restore}.
	 *
	 * @param cut - `silent` accepts new connections but also drops their bytes; `reset` resets open connections and refuses
	 * new ones.
	 * @param direction - Direction in which bytes are dropped; a reset always affects both.
	 */
	disconnect(cut: RelayCut = RelayCut.silent, direction: RelayDirection = RelayDirection.both): void {
		if (cut === RelayCut.reset) {
			this.#isRefusing = true;
			this.#server.close();
			this.reset();
			return;
		}

		this.#silencedDirections.add(direction);
	}

	/**
	 * Delays all bytes received from now on, in both directions.
	 *
	 * @param milliseconds - The delay; 0 disables it.
	 */
	setDelay(milliseconds: number): void {
		this.#delayMilliseconds = milliseconds;
	}

	/** Permanently drops the bytes of the connections that are open now; new connections are not affected. */
	disconnectOpenConnections(): void {
		for (const {silencedDirections} of this.#connections) {
			silencedDirections.add(RelayDirection.both);
		}
	}

	/**
	 * Ends the failures caused by {@link TcpRelay.disconnect}. If bytes may have been dropped, open connections are reset,
	 * because a stream with missing bytes cannot be continued.
	 */
	async restore(): Promise<void> {
		if (this.#silencedDirections.size > 0) {
			this.reset();
		}

		this.#silencedDirections.clear();
		if (this.#isRefusing) {
			this.#isRefusing = false;
			await this.#listen(this.#port);
		}
	}

	/** Resets all open connections. */
	reset(): void {
		for (const {clientSocket, targetSocket} of this.#connections) {
			resetSocket(clientSocket);
			resetSocket(targetSocket);
		}

		this.#connections.clear();
	}

	/** Stops immediately and resets all connections. */
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
	 * Stops listening until the target accepts connections again, so that clients get refused connections instead of
	 * connections that are accepted and then closed.
	 */
	async #waitForTarget(): Promise<void> {
		if (this.#isWaitingForTarget) {
			return;
		}

		this.#isWaitingForTarget = true;
		while (!this.#isStopped && !await this.#isTargetListening()) {
			this.#server.close();
			await waitMilliseconds(targetCheckMilliseconds, undefined, {ref: false});
		}

		await this.#listen(this.#port);
		this.#isWaitingForTarget = false;
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

	#accept(clientSocket: Socket): void {
		const targetSocket = connect({...this.#target, allowHalfOpen: true});
		const connection: RelayedConnection = {clientSocket, targetSocket, silencedDirections: new Set()};
		clientSocket.setNoDelay(true);
		targetSocket.setNoDelay(true);
		this.#connections.add(connection);
		targetSocket.once('close', () => {
			if (this.#connections.has(connection)) {
				void this.#waitForTarget();
			}
		});
		this.#forward(connection, RelayDirection.forward);
		this.#forward(connection, RelayDirection.back);
	}

	#forward(connection: RelayedConnection, direction: RelayDirection): void {
		const [source, sink] = direction === RelayDirection.forward ? [connection.clientSocket, connection.targetSocket] : [connection.targetSocket, connection.clientSocket];
		const enqueue = this.#createDelayedQueue();
		source.on('data', (chunk: Uint8Array) => {
			enqueue(() => {
				if (!this.#isSilenced(connection, direction) && !sink.destroyed && !sink.write(chunk)) {
					source.pause();
					sink.once('drain', () => {
						source.resume();
					});
				}
			});
		});
		source.on('end', () => {
			enqueue(() => {
				if (!this.#isSilenced(connection, direction)) {
					sink.end();
				}
			});
		});
		source.on('error', () => {
			source.destroy();
		});
		source.on('close', () => {
			if (this.#isSilenced(connection, direction)) {
				return;
			}

			this.#connections.delete(connection);
			enqueue(() => {
				sink.destroy();
			});
		});
	}

	/** Creates a function that runs actions after the current delay and keeps their order when the delay changes. */
	#createDelayedQueue(): (action: () => void) => void {
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

	#isSilenced({silencedDirections}: RelayedConnection, direction: RelayDirection): boolean {
		return [this.#silencedDirections, silencedDirections].some(set => set.has(direction) || set.has(RelayDirection.both));
	}
}

/** Resets a connection; libuv cannot reset a socket that was already shut down, and its handle would leak. */
function resetSocket(socket: Socket): void {
	if (socket.writableEnded || socket.destroyed) {
		socket.destroy();
		return;
	}

	socket.resetAndDestroy();
}
