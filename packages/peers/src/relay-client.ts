import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {ResultAsync} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import {Pool} from 'undici';
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
};

/** Defaults of {@link RelayClientOptions}; a host in the same failure domain answers within 1 ms. */
export const defaultRelayClientOptions: RelayClientOptions = {connectMilliseconds: 150};

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
		const {pool, client} = this.#getPeer(address);
		return ResultAsync.fromPromise(client[call].query(question, {signal: AbortSignal.timeout(milliseconds)}) as Promise<RelayedState>, error => {
			if (this.#peers.get(address)?.pool === pool) {
				this.#peers.delete(address);
			}

			void pool.destroy();
			return createFailure('peer-unreachable', {host: address, reason: (error as Error).message});
		});
	}

	/** Closes all connections. */
	close(): void {
		for (const {pool} of this.#peers.values()) {
			void pool.destroy();
		}

		this.#peers.clear();
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
	return async (input: unknown, init?: {method?: string; signal?: unknown}) => {
		const {pathname, search} = new URL(String(input));
		const {statusCode, body} = await pool.request({
			method: (init?.method ?? 'GET'), path: pathname + search, signal: init?.signal,
		});
		return {ok: statusCode === 200, status: statusCode, json: async () => body.json()};
	};
}
