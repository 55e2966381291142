import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {ResultAsync} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {CrashRecord} from '@tanagerrail/routing';
import {Pool} from 'undici';
import type {HostSighting} from './peer-host.js';
import {hostSightingsSchema, relayedStateSchema} from './relayed-state-schema.js';
import type {RelayedState, RelayRequest} from './relayed-state.js';
import type {RelayRouter} from './relay-router.js';

/** Procedures that return the platform's state: `waitState` responds when it has changed, `readState` at once. */
export const RelayCall = {wait: 'waitState', read: 'readState'} as const;

/** `waitState` or `readState`. */
export type RelayCall = typeof RelayCall[keyof typeof RelayCall];

/** Options of {@link RelayClient}. */
export type RelayClientOptions = {
	/** Time allowed for opening a connection, in milliseconds. */
	readonly connectTimeoutMilliseconds: number;
	/** Default time allowed for a call, in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Defaults of {@link RelayClientOptions}; a host in the same failure domain responds within 1 ms. */
export const defaultRelayClientOptions: RelayClientOptions = {connectTimeoutMilliseconds: 150, timeoutMilliseconds: 1000};

/** Maximum size of a response; the whole state of the planned size takes about 2 MB. */
const maximumResponseBytes = 16_777_216;

type PeerConnections = {readonly pool: Pool; readonly client: TRPCClient<RelayRouter>};

/** Requests the platform's state and the known hosts from other hosts. */
export class RelayClient {
	readonly #options: RelayClientOptions;
	readonly #peers = new Map<string, PeerConnections>();

	constructor(options: Partial<RelayClientOptions> = {}) {
		this.#options = {...defaultRelayClientOptions, ...options};
	}

	/**
	 * Requests the platform's state from a host.
	 *
	 * @param address - `ip:port` of the host.
	 * @param call - Procedure to call.
	 * @param request - State known to this host.
	 * @param milliseconds - Time allowed for the response.
	 * @returns The state, or `peer-unreachable`, also for a malformed response; after a failure, the connections to the host are closed.
	 */
	requestState(address: string, call: RelayCall, request: RelayRequest, milliseconds: number): ResultAsync<RelayedState, Failure> {
		return this.#call(address, async (client, signal) => {
			const response: unknown = await client[call].query(request, {signal});
			return relayedStateSchema.parse(response) as RelayedState;
		}, milliseconds);
	}

	/**
	 * Announces hosts to another host.
	 *
	 * @param address - `ip:port` of the host.
	 * @param sightings - The announced hosts.
	 * @returns Nothing, or `peer-unreachable`.
	 */
	announceHosts(address: string, sightings: readonly HostSighting[]): ResultAsync<void, Failure> {
		return this.#call(address, async (client, signal) => client.announceHosts.mutate([...sightings], {signal}));
	}

	/**
	 * Reports crashes to the host from which this one copies the state.
	 *
	 * @param address - `ip:port` of the host.
	 * @param records - The crashes by fingerprint.
	 * @returns Nothing, or `peer-unreachable`.
	 */
	reportCrashes(address: string, records: readonly CrashRecord[]): ResultAsync<void, Failure> {
		return this.#call(address, async (client, signal) => client.reportCrashes.mutate([...records], {signal}));
	}

	/**
	 * Requests the list of known hosts from a host.
	 *
	 * @param address - `ip:port` of the host.
	 * @returns The hosts, or `peer-unreachable`.
	 */
	listHosts(address: string): ResultAsync<readonly HostSighting[], Failure> {
		return this.#call(address, async (client, signal) => hostSightingsSchema.parse(await client.listHosts.query(undefined, {signal})));
	}

	/** Closes all connections. */
	close(): void {
		for (const {pool} of this.#peers.values()) {
			void pool.destroy();
		}

		this.#peers.clear();
	}

	#call<T>(address: string, call: (client: PeerConnections['client'], signal: AbortSignal) => Promise<T>, milliseconds = this.#options.timeoutMilliseconds): ResultAsync<T, Failure> {
		const peer = this.#getPeer(address);
		return ResultAsync.fromPromise(call(peer.client, AbortSignal.timeout(milliseconds)), error => this.#dropPeer(address, peer, error));
	}

	#dropPeer(address: string, peer: PeerConnections, error: unknown): Failure {
		if (this.#peers.get(address) === peer) {
			this.#peers.delete(address);
		}

		void peer.pool.destroy();
		return createFailure('peer-unreachable', {host: address, reason: (error as Error).message});
	}

	#getPeer(address: string): PeerConnections {
		const known = this.#peers.get(address);
		if (known) {
			return known;
		}

		const url = `http://${address}`;
		const pool = new Pool(url, {
			connections: 2, pipelining: 1, connect: {timeout: this.#options.connectTimeoutMilliseconds}, headersTimeout: 0, bodyTimeout: 0, maxResponseSize: maximumResponseBytes,
		});
		const peer = {pool, client: createTRPCClient<RelayRouter>({links: [httpLink({url, fetch: createFetch(pool)})]})};
		this.#peers.set(address, peer);
		return peer;
	}
}

/**
 * Creates the subset of `fetch` that tRPC needs, based on a pool. Loading the complete `fetch` would take longer than the rest of
 * a host's start.
 */
function createFetch(pool: Pool) {
	return async (input: unknown, {method = 'GET', headers, body, signal}: {method?: string; headers?: unknown; body?: unknown; signal?: unknown} = {}) => {
		const {pathname, search} = new URL(String(input));
		const response = await pool.request({
			method, path: pathname + search, headers: headers as Record<string, string>, body: body as string, signal,
		});
		return {ok: response.statusCode === 200, status: response.statusCode, json: async () => response.body.json()};
	};
}
