import {
	HostRole, HostState, type HostList, type ListedHost,
} from '@tanagerrail/platform';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import {rankHosts} from './rank-hosts.js';

const logger = createLogger('membership');

/** Options of {@link HostDirectory}. */
export type HostDirectoryOptions = {
	readonly hostList: HostList;
	readonly clock: Clock;
	/** Time between two reads of the list, in milliseconds. */
	readonly pollMilliseconds: number;
	/** Time for which a `goodbye` message overrides the list, which lags behind, in milliseconds. */
	readonly goodbyeValidityMilliseconds: number;
};

/** Defaults of {@link HostDirectoryOptions}; a `goodbye` message stays valid for much longer than the list usually lags. */
export const defaultHostDirectoryOptions = {pollMilliseconds: 1000, goodbyeValidityMilliseconds: 30_000};

/** The platform's host list as last read, corrected by the `hello` and `goodbye` messages of hosts. */
export class HostDirectory {
	readonly #options: HostDirectoryOptions;
	readonly #goodbyeExpiries = new Map<string, number>();
	readonly #listeners = new Set<() => void>();
	#hosts: readonly ListedHost[] = [];
	#timer: NodeJS.Timeout | undefined;
	#serialized = '[]';
	// Ranking computes one hash per host and service, so requests use the cached result.
	readonly #ranks = new Map<string, readonly string[]>();

	constructor(options: Partial<HostDirectoryOptions> & Pick<HostDirectoryOptions, 'hostList' | 'clock'>) {
		this.#options = {...defaultHostDirectoryOptions, ...options};
	}

	/** Reads the list and starts polling it. */
	async start(): Promise<void> {
		await this.#poll();
	}

	/** Stops the polling. */
	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#listeners.clear();
	}

	/**
	 * Registers a listener for changes.
	 *
	 * @param listener - Called after each change of the list, and after `hello` and `goodbye` messages that change the result.
	 */
	onChange(listener: () => void): void {
		this.#listeners.add(listener);
	}

	/**
	 * Lists the entry hosts that accept requests.
	 *
	 * @returns Entry hosts that are listed as live and have sent no valid `goodbye`.
	 */
	listEntryHosts(): ListedHost[] {
		return this.#hosts.filter(({role, state, id}) => role === HostRole.entry && state === HostState.live && !this.#hasSentGoodbye(id));
	}

	/**
	 * Ranks the entry hosts that accept requests, for a service.
	 *
	 * @param service - Name of the service.
	 * @returns Their ids; the first host that is reachable is the service's allocator.
	 */
	rankEntryHosts(service: string): readonly string[] {
		const cached = this.#ranks.get(service);
		if (cached) {
			return cached;
		}

		const ranked = rankHosts(service, this.listEntryHosts().map(({id}) => id));
		this.#ranks.set(service, ranked);
		return ranked;
	}

	/**
	 * Lists the endpoints of a service.
	 *
	 * @param service - Name of the service.
	 * @returns Its live and leaving endpoints.
	 */
	listEndpoints(service: string): ListedHost[] {
		return this.#hosts.filter(host => host.role === HostRole.endpoint && host.service === service);
	}

	/**
	 * Finds a host.
	 *
	 * @param id - Host id.
	 * @returns The host as listed, or `undefined`.
	 */
	find(id: string): ListedHost | undefined {
		return this.#hosts.find(host => host.id === id);
	}

	/**
	 * Checks whether a host or endpoint is listed.
	 *
	 * @param id - Its id.
	 * @returns Whether the list contains it.
	 */
	has(id: string): boolean {
		return this.#hosts.some(host => host.id === id);
	}

	/**
	 * Records a `goodbye` message: the host is shutting down.
	 *
	 * @param id - Host id.
	 */
	recordGoodbye(id: string): void {
		this.#goodbyeExpiries.set(id, this.#options.clock() + this.#options.goodbyeValidityMilliseconds);
		this.#notify();
	}

	/**
	 * Records a `hello` message: the host is running, which cancels a `goodbye` of its previous run.
	 *
	 * @param id - Host id.
	 */
	recordHello(id: string): void {
		if (this.#goodbyeExpiries.delete(id)) {
			this.#notify();
		}
	}

	#hasSentGoodbye(id: string): boolean {
		return this.#goodbyeExpiries.has(id);
	}

	#expireGoodbyes(): void {
		const now = this.#options.clock();
		const expired = [...this.#goodbyeExpiries].filter(([, expiresAt]) => expiresAt <= now);
		for (const [id] of expired) {
			this.#goodbyeExpiries.delete(id);
		}

		if (expired.length > 0) {
			this.#notify();
		}
	}

	async #poll(): Promise<void> {
		this.#expireGoodbyes();
		const listed = await this.#options.hostList.list();
		if (listed.isErr()) {
			logger.logFailure(LogLevel.warn, 'host-list-unreadable', listed.error);
		} else {
			this.#update(listed.value);
		}

		this.#timer = setTimeout(() => {
			void this.#poll();
		}, this.#options.pollMilliseconds);
	}

	#update(hosts: readonly ListedHost[]): void {
		const serialized = JSON.stringify(hosts);
		if (serialized === this.#serialized) {
			return;
		}

		this.#serialized = serialized;
		this.#hosts = hosts;
		this.#notify();
	}

	#notify(): void {
		this.#ranks.clear();
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
