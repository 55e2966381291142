import type {IncomingHttpHeaders} from 'node:http';
import {
	ProbeVerdict, type DirectoryEndpoint, type ProbeAnswer, type ProbedConnection,
} from '@tanagerrail/routing';
import type {Connection, ConnectionPool} from './connection-pool.js';
import type {EndpointConnections} from './endpoint-connections.js';
import type {EndpointProtocol} from './endpoint-protocol.js';
import {Exchange} from './exchange.js';

/** A connection of a pool that a request may use next. */
export type HeldConnection = ProbedConnection & {readonly pool: ConnectionPool; readonly connection: Connection};

/** Options of {@link ProbeClient}. */
export type ProbeClientOptions = {
	readonly connections: EndpointConnections;
	readonly protocol: EndpointProtocol;
	/** Path on which the endpoints of a service tell health and load; nothing for an unknown service. */
	readonly findHealthPath: (service: string) => string | undefined;
	/** Time after which a probe has failed, in milliseconds. */
	readonly timeoutMilliseconds: number;
	/** Silence of a kept connection after which a new one is tried, in milliseconds. */
	readonly silenceMilliseconds: number;
};

/** Defaults of {@link ProbeClientOptions}. */
export const defaultProbeClientOptions = {timeoutMilliseconds: 400, silenceMilliseconds: 20};

/** Largest answer to a probe that is read, in bytes. */
const answerBytes = 16_384;

/** Asks endpoints for health and load. */
export class ProbeClient {
	readonly #options: ProbeClientOptions;

	constructor(options: Partial<ProbeClientOptions> & Omit<ProbeClientOptions, keyof typeof defaultProbeClientOptions>) {
		this.#options = {...defaultProbeClientOptions, ...options};
	}

	/**
	 * Asks one endpoint, over a kept connection if there is one. A kept connection that fails or stays silent says nothing
	 * about the endpoint, so a new one is tried.
	 *
	 * @param endpoint - The endpoint.
	 * @returns Its answer with the connection that carried it.
	 */
	async probe(endpoint: DirectoryEndpoint): Promise<ProbeAnswer<HeldConnection>> {
		const pool = this.#options.connections.get(endpoint.address);
		const kept = pool.takeIdle();
		const answer = kept && await this.#askKept(endpoint, pool, kept);
		return answer ?? await this.#ask(endpoint, pool, pool.open()) ?? {verdict: ProbeVerdict.unreachable, report: undefined, connection: undefined};
	}

	async #askKept(endpoint: DirectoryEndpoint, pool: ConnectionPool, connection: Connection): Promise<ProbeAnswer<HeldConnection> | undefined> {
		const silentSince = connection.lastByteAt;
		const asked = this.#ask(endpoint, pool, connection);
		const answer = await waitAnswer(asked, this.#options.silenceMilliseconds);
		if (answer !== silence) {
			return answer;
		}

		// Connections that have been idle for as long may be lost in the same way.
		pool.drop(connection);
		pool.dropOlder(silentSince);
		return undefined;
	}

	async #ask(endpoint: DirectoryEndpoint, pool: ConnectionPool, connection: Connection): Promise<ProbeAnswer<HeldConnection> | undefined> {
		const {protocol, findHealthPath, timeoutMilliseconds} = this.#options;
		const exchange = new Exchange({
			pool, connection, bufferBytes: answerBytes, keepsConnection: true,
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
		const {isHealthy, endpointId, requestId, report} = protocol.readProbe(status, headers);
		// An answer to an earlier request means that the connection is out of step.
		if (requestId !== undefined || !isComplete) {
			exchange.abort();
			pool.drop(connection);
			return undefined;
		}

		const held = isKept(headers) ? acquireHold(pool, connection) : undefined;
		if (!held) {
			pool.drop(connection);
		}

		if (endpointId !== undefined && endpointId !== endpoint.id) {
			return {verdict: ProbeVerdict.replaced, report: undefined, connection: held};
		}

		return {verdict: isHealthy ? ProbeVerdict.healthy : ProbeVerdict.unhealthy, report, connection: held};
	}
}

function acquireHold(pool: ConnectionPool, connection: Connection): HeldConnection {
	return {
		pool,
		connection,
		release() {
			pool.release(connection);
		},
	};
}

function isKept({connection}: IncomingHttpHeaders): boolean {
	return connection?.toLowerCase() !== 'close';
}

const silence = Symbol('silence');

/** Waits for an answer; after a pause of the process, answers that lie ready are read before silence is concluded. */
async function waitAnswer<T>(answer: Promise<T>, milliseconds: number): Promise<T | typeof silence> {
	let timer: NodeJS.Timeout | undefined;
	const silent = new Promise<typeof silence>(resolve => {
		timer = setTimeout(() => {
			setImmediate(resolve, silence);
		}, milliseconds);
	});
	const result = await Promise.race([answer, silent]);
	clearTimeout(timer);
	return result;
}
