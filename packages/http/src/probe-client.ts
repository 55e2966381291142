import type {IncomingHttpHeaders} from 'node:http';
import {
	ProbeStatus, type DirectoryEndpoint, type ProbeResponse, type ProbedConnection,
} from '@tanagerrail/routing';
import type {Connection, ConnectionPool} from './connection-pool.js';
import type {EndpointConnections} from './endpoint-connections.js';
import type {EndpointProtocol} from './endpoint-protocol.js';
import {Exchange} from './exchange.js';

/** A connection that is held out of its pool after a probe, so that the request can use it next. */
export type HeldConnection = ProbedConnection & {readonly pool: ConnectionPool; readonly connection: Connection};

/** Options of {@link ProbeClient}. */
export type ProbeClientOptions = {
	readonly connections: EndpointConnections;
	readonly protocol: EndpointProtocol;
	/** Path on which the endpoints of a service report health and load; undefined for an unknown service. */
	readonly findHealthPath: (service: string) => string | undefined;
	/** Timeout of a probe in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Time without a response on a pooled connection after which the probe is repeated on a new one, in milliseconds. */
	readonly pooledTimeoutMilliseconds: number;
};

/** Defaults of {@link ProbeClientOptions}. */
export const defaultProbeClientOptions = {timeoutMilliseconds: 400, pooledTimeoutMilliseconds: 20};

/** Maximum body size of a probe response, in bytes. */
const maximumResponseBytes = 16_384;

/** Probes the health and load of endpoints. */
export class ProbeClient {
	readonly #options: ProbeClientOptions;

	constructor(options: Partial<ProbeClientOptions> & Omit<ProbeClientOptions, keyof typeof defaultProbeClientOptions>) {
		this.#options = {...defaultProbeClientOptions, ...options};
	}

	/**
	 * Probes an endpoint, over a pooled connection if there is one. The failure of a pooled connection, or silence on it, may
	 * not be due to the endpoint, so the probe is then repeated on a new connection.
	 *
	 * @param endpoint - The endpoint.
	 * @returns Its response and the connection that received it.
	 */
	async probe(endpoint: DirectoryEndpoint): Promise<ProbeResponse<HeldConnection>> {
		const pool = this.#options.connections.get(endpoint.address);
		const pooled = pool.takeIdle();
		const response = pooled && await this.#probePooled(endpoint, pool, pooled);
		return response ?? await this.#sendProbe(endpoint, pool, pool.open()) ?? {status: ProbeStatus.unreachable, report: undefined, connection: undefined};
	}

	async #probePooled(endpoint: DirectoryEndpoint, pool: ConnectionPool, connection: Connection): Promise<ProbeResponse<HeldConnection> | undefined> {
		const pooledSince = connection.idleSince;
		const probed = this.#sendProbe(endpoint, pool, connection);
		const response = await waitResponse(probed, this.#options.pooledTimeoutMilliseconds);
		if (response !== timedOut) {
			return response;
		}

		// Connections that have been idle for at least as long as this one may be lost too.
		pool.drop(connection);
		pool.dropIdleSince(pooledSince);
		return undefined;
	}

	async #sendProbe(endpoint: DirectoryEndpoint, pool: ConnectionPool, connection: Connection): Promise<ProbeResponse<HeldConnection> | undefined> {
		const {protocol, findHealthPath, timeoutMilliseconds} = this.#options;
		const exchange = new Exchange({
			pool, connection, bufferLimitBytes: maximumResponseBytes, keepsConnection: true,
			request: {
				method: 'GET', target: findHealthPath(endpoint.service) ?? '/', headers: {host: endpoint.address}, body: undefined,
			},
		});
		const timer = setTimeout(() => {
			exchange.abort();
		}, timeoutMilliseconds);
		const result = await exchange.result;
		clearTimeout(timer);
		if (result.isErr()) {
			return undefined;
		}

		const {status, headers, isComplete} = result.value;
		const {
			isHealthy, endpointId, requestId, report, notice,
		} = protocol.readProbe(status, headers);
		// A response to an earlier request means that requests and responses no longer match on this connection.
		if (requestId !== undefined || !isComplete) {
			exchange.abort();
			pool.drop(connection);
			return undefined;
		}

		const held = isPersistent(headers) ? createHeldConnection(pool, connection) : undefined;
		if (!held) {
			pool.drop(connection);
		}

		if (endpointId !== undefined && endpointId !== endpoint.id) {
			return {status: ProbeStatus.replaced, report: undefined, connection: held};
		}

		return {
			status: isHealthy ? ProbeStatus.healthy : ProbeStatus.unhealthy, report, notice, connection: held,
		};
	}
}

function createHeldConnection(pool: ConnectionPool, connection: Connection): HeldConnection {
	return {
		pool,
		connection,
		release() {
			pool.release(connection);
		},
	};
}

function isPersistent({connection}: IncomingHttpHeaders): boolean {
	return connection?.toLowerCase() !== 'close';
}

const timedOut = Symbol('timeout');

/** Waits for a response or a timeout. After a pause of the process, a response that is ready to be read takes precedence. */
async function waitResponse<T>(response: Promise<T>, milliseconds: number): Promise<T | typeof timedOut> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<typeof timedOut>(resolve => {
		timer = setTimeout(() => {
			setImmediate(resolve, timedOut);
		}, milliseconds);
	});
	const result = await Promise.race([response, timeout]);
	clearTimeout(timer);
	return result;
}
