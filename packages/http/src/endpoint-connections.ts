import {ConnectionPool, type ConnectionPoolOptions} from './connection-pool.js';

/** Holds the connection pool of each endpoint, by address. */
export class EndpointConnections {
	readonly #options: Omit<ConnectionPoolOptions, 'address'>;
	readonly #pools = new Map<string, ConnectionPool>();

	constructor(options: Omit<ConnectionPoolOptions, 'address'>) {
		this.#options = options;
	}

	/**
	 * Returns the pool of an endpoint.
	 *
	 * @param address - `ip:port` of the endpoint.
	 * @returns The pool, created if necessary.
	 */
	get(address: string): ConnectionPool {
		const existing = this.#pools.get(address);
		if (existing) {
			return existing;
		}

		const pool = new ConnectionPool({...this.#options, address});
		this.#pools.set(address, pool);
		return pool;
	}

	/**
	 * Tells whether a request to an endpoint can reuse an open connection.
	 *
	 * @param address - `ip:port` of the endpoint.
	 * @returns Whether one is open and idle.
	 */
	hasIdle(address: string): boolean {
		return (this.#pools.get(address)?.idle ?? 0) > 0;
	}

	/**
	 * Removes the pools of addresses that are not in use and to which no connection is open.
	 *
	 * @param addresses - Addresses in use.
	 */
	dropUnused(addresses: ReadonlySet<string>): void {
		for (const [address, pool] of this.#pools) {
			if (pool.size === 0 && !addresses.has(address)) {
				this.#pools.delete(address);
			}
		}
	}

	/** Closes all pools. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}

		this.#pools.clear();
	}
}
