import {createTRPCClient, type TRPCClient} from '@trpc/client';
import {errAsync, ResultAsync} from 'neverthrow';
import type {RevisionRecord} from '@tanagerrail/configuration';
import type {HostDirectory} from '@tanagerrail/membership';
import {createFailure, type Failure} from '@tanagerrail/results';
import {peerControlPath} from './control-handler.js';
import {createControlLink, describeControlError} from './control-link.js';
import type {HostStatus} from './host-status.js';
import type {PeerControlRouter} from './peer-control-router.js';

/** Options of {@link PeerControlClients}. */
export type PeerControlClientsOptions = {
	readonly directory: HostDirectory;
	readonly key: string;
	/** Returns the certificate authorities of peers as PEM; calls use TLS when it is given. */
	readonly getAuthority?: () => string | undefined;
	/** Time allowed for one call, in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Defaults of {@link PeerControlClientsOptions}; the timeout allows retries within the 3 s in which a change must be in force. */
export const defaultPeerControlClientsOptions = {timeoutMilliseconds: 500};

type PeerClient = {readonly address: string; readonly client: TRPCClient<PeerControlRouter>};

/** Control calls to peers. Failures: `peer-unreachable` and `peer-unauthorized`. */
export class PeerControlClients {
	readonly #options: PeerControlClientsOptions;
	readonly #clients = new Map<string, PeerClient>();

	constructor(options: Partial<PeerControlClientsOptions> & Pick<PeerControlClientsOptions, 'directory' | 'key'>) {
		this.#options = {...defaultPeerControlClientsOptions, ...options};
	}

	/**
	 * Fetches the configuration change that is in force on a peer.
	 *
	 * @param hostId - Id of the peer.
	 * @returns The change, or undefined when none is in force.
	 */
	fetchRevision(hostId: string): ResultAsync<RevisionRecord | undefined, Failure> {
		return this.#send(hostId, async (client, signal) => client.getConfiguration.query(undefined, {signal})).map(record => record ?? undefined);
	}

	/**
	 * Announces an accepted change to a peer.
	 *
	 * @param hostId - Id of the peer.
	 * @param record - The change.
	 * @returns The revision in force on the peer afterwards.
	 */
	announce(hostId: string, record: RevisionRecord): ResultAsync<number, Failure> {
		return this.#send(hostId, async (client, signal) => client.announce.mutate(record, {signal})).map(({revision}) => revision);
	}

	/**
	 * Fetches the status of a peer.
	 *
	 * @param hostId - Id of the peer.
	 * @returns The status.
	 */
	fetchStatus(hostId: string): ResultAsync<HostStatus, Failure> {
		return this.#send(hostId, async (client, signal) => client.getStatus.query(undefined, {signal}));
	}

	#send<T>(hostId: string, call: (client: PeerClient['client'], signal: AbortSignal) => Promise<T>): ResultAsync<T, Failure> {
		const client = this.#getClient(hostId);
		if (!client) {
			return errAsync(createFailure('peer-unreachable', {host: hostId, reason: 'not listed'}));
		}

		return ResultAsync.fromPromise(call(client, AbortSignal.timeout(this.#options.timeoutMilliseconds)), error => describeControlError(error, hostId));
	}

	#getClient(hostId: string): PeerClient['client'] | undefined {
		const {directory, key, getAuthority} = this.#options;
		const address = directory.find(hostId)?.peerAddress;
		if (address === undefined) {
			return undefined;
		}

		const known = this.#clients.get(hostId);
		if (known?.address === address) {
			return known.client;
		}

		const client = createTRPCClient<PeerControlRouter>({
			links: [createControlLink({
				address, path: peerControlPath, key, getAuthority,
			})],
		});
		this.#clients.set(hostId, {address, client});
		return client;
	}
}
