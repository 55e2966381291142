import {ConnectionPool, type ConnectionPoolOptions} from './connection-pool.js';

/** The connection pools of all endpoints, by address. */
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
	 * @returns The pool, a new one if need be.
	 */
	get(address: string): ConnectionPool {
		const known = this.#pools.get(address);
		if (known) {
			return known;
		}

		const pool = new ConnectionPool({...this.#options, address});
		this.#pools.set(address, pool);
		return pool;
	}

	/** Closes all pools. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}

		this.#pools.clear();
	}
}
