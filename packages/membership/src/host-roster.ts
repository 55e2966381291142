import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {HostListing, HostRegistry, RegisteredHost} from './platform-sources.js';
import {waitUntil} from './wait-until.js';

const logger = createLogger('membership');

/** Options of {@link HostRoster}. */
export type HostRosterOptions = {
	readonly registry: HostRegistry;
	readonly clock: Clock;
	/** This host as it registers itself. */
	readonly self: RegisteredHost;
	/** Returns the registered hosts, as far as they are known. */
	readonly getListing: () => HostListing;
	/** Whether this host reads the store for others. */
	readonly isReader: () => boolean;
	readonly onListing: (listing: HostListing) => void;
	/** Time after the registration in which other hosts that start with this one register too, in milliseconds. */
	readonly settleMilliseconds: number;
	/** Time between two readings, in milliseconds. */
	readonly intervalMilliseconds: number;
	/** Time after which a host that asks nothing counts as gone, in milliseconds. */
	readonly goneMilliseconds: number;
};

/** Defaults of {@link HostRosterOptions}. */
export const defaultHostRosterOptions = {settleMilliseconds: 1200, intervalMilliseconds: 20_000, goneMilliseconds: 90_000};

/** Registers this host, and reads the registered hosts for all hosts of its failure domain while it is their reader. */
export class HostRoster {
	readonly #options: HostRosterOptions;
	/** Monotonic time at which each host last asked this one. */
	readonly #askedAt = new Map<string, number>();
	#readerSince: number | undefined;

	constructor(options: Partial<HostRosterOptions> & Omit<HostRosterOptions, keyof typeof defaultHostRosterOptions>) {
		this.#options = {...defaultHostRosterOptions, ...options};
	}

	/**
	 * Notes that a host has asked this one.
	 *
	 * @param hostId - Id of the host.
	 */
	markAsking(hostId: string): void {
		this.#askedAt.set(hostId, this.#options.clock());
	}

	/**
	 * Keeps the registration and the list.
	 *
	 * @param signal - Ends the work.
	 */
	async run(signal: AbortSignal): Promise<void> {
		const {settleMilliseconds, intervalMilliseconds, isReader} = this.#options;
		if (await this.#readHosts()) {
			await waitUntil(settleMilliseconds, signal);
			await this.#readHosts();
		}

		while (!signal.aborted) {
			await waitUntil(intervalMilliseconds, signal);
			if (signal.aborted) {
				return;
			}

			if (isReader()) {
				this.#readerSince ??= this.#options.clock();
				await this.#readHosts();
				await this.#removeGone();
			} else {
				this.#readerSince = undefined;
				await this.#register();
			}
		}
	}

	/** Reads the list and tells whether this host was missing on it, so that others may be missing too. */
	async #readHosts(): Promise<boolean> {
		const listed = await this.#options.registry.listHosts();
		if (listed.isErr()) {
			logger.logFailure(LogLevel.warn, 'host-registration-failed', listed.error);
			return true;
		}

		this.#options.onListing(listed.value);
		return this.#register();
	}

	/** Registers this host where the list lacks it or says something else of it, and tells whether that was so. */
	async #register(): Promise<boolean> {
		const {registry, self, getListing} = this.#options;
		const known = getListing().hosts.find(({id}) => id === self.id);
		if (known?.peerAddress === self.peerAddress && known.failureDomain === self.failureDomain && known.cores === self.cores) {
			return false;
		}

		const registered = await registry.registerHost(self);
		if (registered.isErr()) {
			logger.logFailure(LogLevel.warn, 'host-registration-failed', registered.error);
		}

		return true;
	}

	/** Removes hosts of this failure domain that have asked nothing for long; one that lives registers itself again. */
	async #removeGone(): Promise<void> {
		const {registry, self, clock, getListing, goneMilliseconds} = this.#options;
		const oldest = clock() - goneMilliseconds;
		if (this.#readerSince === undefined || this.#readerSince > oldest) {
			return;
		}

		const gone = getListing().hosts.filter(({id, failureDomain}) => failureDomain === self.failureDomain && id !== self.id && (this.#askedAt.get(id) ?? 0) < oldest);
		if (gone.length === 0) {
			return;
		}

		const ids = gone.map(({id}) => id);
		logger.log(LogLevel.info, 'hosts-removed', {hosts: ids});
		const removed = await registry.removeHosts(ids);
		if (removed.isErr()) {
			logger.logFailure(LogLevel.warn, 'host-registration-failed', removed.error);
		}
	}
}
