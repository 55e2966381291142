import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';
import type {Clock} from '@tanagerrail/telemetry';
import {scheduleEnd} from './pausable-response.js';
import {ResponseGuard, type GuardedConnection} from './response-guard.js';
import {splitReads} from './split-reads.js';

/** Options of {@link ConnectionPool}. */
export type ConnectionPoolOptions = {
	/** `ip:port` of the endpoint. */
	readonly address: string;
	readonly clock: Clock;
	/** Maximum number of idle connections that are kept. */
	readonly connections: number;
	/** Timeout for opening a connection, in milliseconds. */
	readonly connectTimeout: number;
	/** Idle connections are closed after this time, in milliseconds. */
	readonly idleTimeout: number;
};

/** Defaults of {@link ConnectionPoolOptions}. */
export const defaultConnectionPoolOptions = {connections: 200, connectTimeout: 250, idleTimeout: 30_000};

/** A connection to an endpoint, which carries one request at a time. */
export type Connection = GuardedConnection & {
	readonly client: Client;
	/** Sends requests over the client and checks the responses. */
	readonly dispatcher: Dispatcher;
	/** Monotonic time of opening, in milliseconds. */
	readonly openedAt: number;
	/** Monotonic time of the last release to the pool, or of opening, in milliseconds. */
	idleSince: number;
	/** Number of exchanges that have been started on the connection, probes included. */
	exchanges: number;
	/** How the endpoint closed the connection: `ended` after a FIN, `reset` after a reset; undefined while it is open. */
	remoteClose: 'ended' | 'reset' | undefined;
};

/** Connections to one endpoint. The most recently used one is taken first, so that stale ones are rarely used. */
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

	/** Number of connections without a request in progress. */
	get idle(): number {
		return this.#idle.length;
	}

	/**
	 * Takes a connection out of the pool.
	 *
	 * @param maximumIdleMilliseconds - Longest idle time of a pooled connection that may be used.
	 * @returns An idle connection, or a new one.
	 */
	take(maximumIdleMilliseconds = Infinity): Connection {
		return this.takeIdle(maximumIdleMilliseconds) ?? this.open();
	}

	/**
	 * Takes an idle connection out of the pool.
	 *
	 * @param maximumIdleMilliseconds - Longest idle time of a pooled connection that may be used.
	 * @returns The most recently used connection, or nothing.
	 */
	takeIdle(maximumIdleMilliseconds = Infinity): Connection | undefined {
		const recent = this.#idle.at(-1);
		if (!recent || this.#options.clock() - recent.idleSince > maximumIdleMilliseconds) {
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
		const now = clock();
		const connectSocket = buildConnector({timeout: connectTimeout, allowHalfOpen: true});
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			connect(options, onConnected) {
				connectSocket(options, (...result) => {
					const [, socket] = result;
					if (socket) {
						connection.socket = socket;
						splitReads(socket);
						watchRemoteClose(socket, connection);
						scheduleEnd(socket, () => connection.guard?.response);
						socket.on('readable', () => {
							connection.guard?.checkOverhead();
						});
					}

					onConnected(...result);
				});
			},
			keepAliveTimeout: idleTimeout,
			keepAliveMaxTimeout: idleTimeout,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		const connection: Connection = {
			client,
			dispatcher: client.compose(dispatch => (request, handler) => dispatch(request, new ResponseGuard(handler, connection))),
			openedAt: now,
			idleSince: now,
			exchanges: 0,
			remoteClose: undefined,
			socket: undefined,
			guard: undefined,
		};
		// Undici's client would reconnect by itself, but each member of the pool must be a single connection.
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

		connection.idleSince = this.#options.clock();
		if (this.#idle.length >= this.#options.connections) {
			this.drop(connection);
			return;
		}

		this.#idle.push(connection);
	}

	/**
	 * Closes a connection and aborts the request on it.
	 *
	 * @param connection - The connection.
	 */
	drop(connection: Connection): void {
		this.#remove(connection);
		void connection.client.destroy();
	}

	/**
	 * Closes all connections that have been idle since a point in time or longer.
	 *
	 * @param time - Monotonic time in milliseconds.
	 * @returns Number of closed connections.
	 */
	dropIdleSince(time: number): number {
		const old = this.#idle.filter(({idleSince}) => idleSince <= time);
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
 * Records how the endpoint closes a connection, because undici treats a response without a length as complete even after
 * a reset. Node.js reports a reset that arrives together with the last bytes as a normal end; the socket then has no
 * remote address.
 */
function watchRemoteClose(socket: Socket, connection: Connection): void {
	socket.once('error', (error: NodeJS.ErrnoException) => {
		connection.remoteClose = 'reset';
		// Undici takes a reset with this code as the end of a body without a length.
		if (error.code === 'ECONNRESET') {
			error.code = 'EPIPE';
		}
	});
	socket.once('end', () => {
		connection.remoteClose ??= socket.remoteAddress === undefined ? 'reset' : 'ended';
	});
}
