import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {ResultAsync} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import {Pool} from 'undici';
import type {HostSighting} from './peer-host.js';
import type {RelayedState, RelayQuestion} from './relayed-state.js';
import type {RelayRouter} from './relay-router.js';

/** Whether the answer may wait for news. */
export const RelayCall = {wait: 'waitState', read: 'readState'} as const;

/** `waitState` or `readState`. */
export type RelayCall = typeof RelayCall[keyof typeof RelayCall];

/** Options of {@link RelayClient}. */
export type RelayClientOptions = {
	/** Time allowed for opening a connection, in milliseconds. */
	readonly connectMilliseconds: number;
	/** Time allowed for a call about hosts, in milliseconds. */
	readonly callMilliseconds: number;
};

/** Defaults of {@link RelayClientOptions}; a host in the same failure domain answers within 1 ms. */
export const defaultRelayClientOptions: RelayClientOptions = {connectMilliseconds: 150, callMilliseconds: 1000};

type Peer = {readonly pool: Pool; readonly client: TRPCClient<RelayRouter>};

/** Asks other hosts for the platform's state. */
export class RelayClient {
	readonly #options: RelayClientOptions;
	readonly #peers = new Map<string, Peer>();

	constructor(options: Partial<RelayClientOptions> = {}) {
		this.#options = {...defaultRelayClientOptions, ...options};
	}

	/**
	 * Asks a host.
	 *
	 * @param address - `ip:port` of the host.
	 * @param call - Whether the answer may wait for news.
	 * @param question - What this host knows.
	 * @param milliseconds - Time allowed for the answer.
	 * @returns The answer, or `peer-unreachable`; after that, its connections are not used again.
	 */
	ask(address: string, call: RelayCall, question: RelayQuestion, milliseconds: number): ResultAsync<RelayedState, Failure> {
		return this.#call(address, async (client, signal) => client[call].query(question, {signal}) as Promise<RelayedState>, milliseconds);
	}

	/**
	 * Tells a host of other hosts.
	 *
	 * @param address - `ip:port` of the host.
	 * @param sightings - What is told.
	 * @returns Nothing, or `peer-unreachable`.
	 */
	announceHosts(address: string, sightings: readonly HostSighting[]): ResultAsync<void, Failure> {
		return this.#call(address, async (client, signal) => client.announceHosts.mutate([...sightings], {signal}));
	}

	/**
	 * Asks a host which hosts it knows.
	 *
	 * @param address - `ip:port` of the host.
	 * @returns The hosts, or `peer-unreachable`.
	 */
	listHosts(address: string): ResultAsync<readonly HostSighting[], Failure> {
		return this.#call(address, async (client, signal) => client.listHosts.query(undefined, {signal}));
	}

	/** Closes all connections. */
	close(): void {
		for (const {pool} of this.#peers.values()) {
			void pool.destroy();
		}

		this.#peers.clear();
	}

	#call<T>(address: string, call: (client: Peer['client'], signal: AbortSignal) => Promise<T>, milliseconds = this.#options.callMilliseconds): ResultAsync<T, Failure> {
		const peer = this.#getPeer(address);
		return ResultAsync.fromPromise(call(peer.client, AbortSignal.timeout(milliseconds)), error => this.#dropPeer(address, peer, error));
	}

	#dropPeer(address: string, peer: Peer, error: unknown): Failure {
		if (this.#peers.get(address) === peer) {
			this.#peers.delete(address);
		}

		void peer.pool.destroy();
		return createFailure('peer-unreachable', {host: address, reason: (error as Error).message});
	}

	#getPeer(address: string): Peer {
		const known = this.#peers.get(address);
		if (known) {
			return known;
		}

		const url = `http://${address}`;
		const pool = new Pool(url, {
			connections: 2, pipelining: 1, connect: {timeout: this.#options.connectMilliseconds}, headersTimeout: 0, bodyTimeout: 0,
		});
		const peer = {pool, client: createTRPCClient<RelayRouter>({links: [httpLink({url, fetch: createFetch(pool)})]})};
		this.#peers.set(address, peer);
		return peer;
	}
}

/** The part of `fetch` that tRPC needs, over a pool; the whole `fetch` takes longer to load than a host to start. */
function createFetch(pool: Pool) {
	return async (input: unknown, {method = 'GET', headers, body, signal}: {method?: string; headers?: unknown; body?: unknown; signal?: unknown} = {}) => {
		const {pathname, search} = new URL(String(input));
		const response = await pool.request({
			method, path: pathname + search, headers: headers as Record<string, string>, body: body as string, signal,
		});
		return {ok: response.statusCode === 200, status: response.statusCode, json: async () => response.body.json()};
	};
}
