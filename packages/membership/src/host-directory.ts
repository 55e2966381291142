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
	/** How long a host's own goodbye goes before the lagging list, in milliseconds. */
	readonly goodbyeMilliseconds: number;
};

/** Defaults of {@link HostDirectoryOptions}; a goodbye outlasts the usual lag of the list by far. */
export const defaultHostDirectoryOptions = {pollMilliseconds: 1000, goodbyeMilliseconds: 30_000};

/** The platform's host list as last read, corrected by what hosts said themselves. */
export class HostDirectory {
	readonly #options: HostDirectoryOptions;
	readonly #goodbyes = new Map<string, number>();
	readonly #listeners = new Set<() => void>();
	#hosts: readonly ListedHost[] = [];
	#timer: NodeJS.Timeout | undefined;
	#serialized = '[]';
	// Ranking hashes once per host and service; requests only read the result.
	readonly #ranks = new Map<string, readonly string[]>();

	constructor(options: Partial<HostDirectoryOptions> & Pick<HostDirectoryOptions, 'hostList' | 'clock'>) {
		this.#options = {...defaultHostDirectoryOptions, ...options};
	}

	/** Reads the list once and then again and again. */
	async start(): Promise<void> {
		await this.#poll();
	}

	/** Ends the polling. */
	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#listeners.clear();
	}

	/**
	 * Registers a listener for changes.
	 *
	 * @param listener - Called after each change of the list or of what is known directly.
	 */
	onChange(listener: () => void): void {
		this.#listeners.add(listener);
	}

	/**
	 * Lists the entry hosts that take work.
	 *
	 * @returns Entry hosts that are listed as live and have not said goodbye.
	 */
	listEntries(): ListedHost[] {
		return this.#hosts.filter(({role, state, id}) => role === HostRole.entry && state === HostState.live && !this.#hasLeft(id));
	}

	/**
	 * Ranks the entry hosts that take work for a service.
	 *
	 * @param service - Name of the service.
	 * @returns Their ids; the first one that works is the service's allocator.
	 */
	rankEntries(service: string): readonly string[] {
		const known = this.#ranks.get(service);
		if (known) {
			return known;
		}

		const ranked = rankHosts(service, this.listEntries().map(({id}) => id));
		this.#ranks.set(service, ranked);
		return ranked;
	}

	/**
	 * Lists the endpoints of a service.
	 *
	 * @param service - Name of the service.
	 * @returns Its endpoints, live and leaving.
	 */
	listEndpoints(service: string): ListedHost[] {
		return this.#hosts.filter(host => host.role === HostRole.endpoint && host.service === service);
	}

	/**
	 * Finds a host.
	 *
	 * @param id - Host id.
	 * @returns Its row, or nothing.
	 */
	find(id: string): ListedHost | undefined {
		return this.#hosts.find(host => host.id === id);
	}

	/**
	 * Tells whether a host or endpoint is listed.
	 *
	 * @param id - Its id.
	 * @returns Whether the list has a row for it.
	 */
	has(id: string): boolean {
		return this.#hosts.some(host => host.id === id);
	}

	/**
	 * Records that a host said itself that it is leaving.
	 *
	 * @param id - Host id.
	 */
	recordGoodbye(id: string): void {
		this.#goodbyes.set(id, this.#options.clock() + this.#options.goodbyeMilliseconds);
		this.#notify();
	}

	/**
	 * Records that a host works, so that a goodbye of its former run no longer counts.
	 *
	 * @param id - Host id.
	 */
	recordHello(id: string): void {
		if (this.#goodbyes.delete(id)) {
			this.#notify();
		}
	}

	#hasLeft(id: string): boolean {
		return this.#goodbyes.has(id);
	}

	#expireGoodbyes(): void {
		const now = this.#options.clock();
		const expired = [...this.#goodbyes].filter(([, until]) => until <= now);
		for (const [id] of expired) {
			this.#goodbyes.delete(id);
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
