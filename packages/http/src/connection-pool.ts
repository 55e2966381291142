import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';
import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link ConnectionPool}. */
export type ConnectionPoolOptions = {
	/** `ip:port` of the endpoint. */
	readonly address: string;
	readonly clock: Clock;
	/** Connections kept at most. */
	readonly connections: number;
	/** Time allowed for opening a connection, in milliseconds. */
	readonly connectTimeout: number;
	/** Idle connections are closed after this time, in milliseconds. */
	readonly idleTimeout: number;
};

/** Defaults of {@link ConnectionPoolOptions}. */
export const defaultConnectionPoolOptions = {connections: 200, connectTimeout: 250, idleTimeout: 30_000};

/** One connection to an endpoint that carries one request at a time. */
export type Connection = {
	readonly client: Client;
	/** Monotonic time of the last byte received; the time of opening for a new one. */
	lastByteAt: number;
	/** How the endpoint ended the connection: in order, or by a reset; nothing while it is open. */
	ending: 'ended' | 'reset' | undefined;
};

/** Connections to one endpoint, the most recently used first, so that stale ones are not touched. */
export class ConnectionPool {
	readonly #options: ConnectionPoolOptions;
	readonly #idle: Connection[] = [];
	readonly #all = new Set<Connection>();

	constructor(options: Partial<ConnectionPoolOptions> & Pick<ConnectionPoolOptions, 'address' | 'clock'>) {
		this.#options = {...defaultConnectionPoolOptions, ...options};
	}

	get size(): number {
		return this.#all.size;
	}

	/** Connections that carry nothing. */
	get idle(): number {
		return this.#idle.length;
	}

	/**
	 * Takes a connection out of the pool.
	 *
	 * @param maximumSilence - Longest time since the last byte, in milliseconds; an older connection is not used.
	 * @returns An idle connection, or a new one.
	 */
	take(maximumSilence = Infinity): Connection {
		return this.takeIdle(maximumSilence) ?? this.open();
	}

	/**
	 * Takes an idle connection out of the pool.
	 *
	 * @param maximumSilence - Longest time since the last byte, in milliseconds; an older connection is not used.
	 * @returns The most recently used connection, or nothing.
	 */
	takeIdle(maximumSilence = Infinity): Connection | undefined {
		const recent = this.#idle.at(-1);
		if (!recent || this.#options.clock() - recent.lastByteAt > maximumSilence) {
			return undefined;
		}

		this.#idle.pop();
		return recent;
	}

	/**
	 * Opens a connection.
	 *
	 * @returns A new connection.
	 */
	open(): Connection {
		const {address, connectTimeout, idleTimeout, clock} = this.#options;
		const connectSocket = buildConnector({timeout: connectTimeout});
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			connect(options, onConnected) {
				connectSocket(options, (...result) => {
					const [, socket] = result;
					if (socket) {
						watchEnding(socket, connection);
					}

					onConnected(...result);
				});
			},
			keepAliveTimeout: idleTimeout,
			keepAliveMaxTimeout: idleTimeout,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		const connection: Connection = {client, lastByteAt: clock(), ending: undefined};
		// A client would open a new connection by itself; a pool member stands for one connection only.
		client.on('disconnect', () => {
			this.#remove(connection);
			void client.destroy();
		});
		this.#all.add(connection);
		return connection;
	}

	/**
	 * Puts a connection back after a complete response.
	 *
	 * @param connection - The connection.
	 */
	release(connection: Connection): void {
		if (!this.#all.has(connection) || connection.client.destroyed) {
			return;
		}

		connection.lastByteAt = this.#options.clock();
		if (this.#idle.length >= this.#options.connections) {
			this.drop(connection);
			return;
		}

		this.#idle.push(connection);
	}

	/**
	 * Closes a connection for good, together with whatever runs on it.
	 *
	 * @param connection - The connection.
	 */
	drop(connection: Connection): void {
		this.#remove(connection);
		void connection.client.destroy();
	}

	/**
	 * Closes all idle connections that have been silent since before a point in time.
	 *
	 * @param time - Monotonic time in milliseconds.
	 * @returns Number of closed connections.
	 */
	dropOlder(time: number): number {
		const old = this.#idle.filter(({lastByteAt}) => lastByteAt <= time);
		for (const connection of old) {
			this.drop(connection);
		}

		return old.length;
	}

	/** Closes all connections. */
	close(): void {
		for (const connection of this.#all) {
			this.drop(connection);
		}
	}

	#remove(connection: Connection): void {
		this.#all.delete(connection);
		const index = this.#idle.indexOf(connection);
		if (index !== -1) {
			this.#idle.splice(index, 1);
		}
	}
}

/**
 * Undici takes a response without a length as complete however its connection ends, so the way it ends is noted first.
 * A reset that arrives together with the last bytes is told by Node.js as an orderly end; the socket then has no peer.
 */
function watchEnding(socket: Socket, connection: Connection): void {
	socket.once('error', () => {
		connection.ending = 'reset';
	});
	socket.once('end', () => {
		connection.ending ??= socket.remoteAddress === undefined ? 'reset' : 'ended';
	});
}
