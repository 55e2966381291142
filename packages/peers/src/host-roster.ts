import {waitUnlessAborted} from '@tanagerrail/membership';
import type {ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';
import {createLogger, LogLevel, type Clock} from '@tanagerrail/telemetry';
import type {HostSighting, PeerHost} from './peer-host.js';

const logger = createLogger('peers');

/** Options of {@link HostRoster}. */
export type HostRosterOptions = {
	readonly clock: Clock;
	/** This host. */
	readonly self: PeerHost;
	/** Returns the addresses of hosts through which others are discovered; they may be out of date. */
	readonly getSeeds: () => readonly string[];
	/** Announces hosts to another host. */
	readonly announceHosts: (address: string, sightings: readonly HostSighting[]) => ResultAsync<void, Failure>;
	/** Requests the list of known hosts from a host. */
	readonly listHosts: (address: string) => ResultAsync<readonly HostSighting[], Failure>;
	/** Time after the announcement during which hosts that start together with this one announce themselves, in milliseconds. */
	readonly discoveryMilliseconds: number;
	/** Delay before an announcement that reached no seed is repeated, in milliseconds. */
	readonly retryMilliseconds: number;
	/** Interval between two announcements by a host from which others request the state, in milliseconds. */
	readonly intervalMilliseconds: number;
	/** Time after which a host that no host has seen is removed, in milliseconds. */
	readonly expiryMilliseconds: number;
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
};

/** Defaults of {@link HostRosterOptions}. */
export const defaultHostRosterOptions = {
	discoveryMilliseconds: 1000, retryMilliseconds: 400, intervalMilliseconds: 20_000, expiryMilliseconds: 90_000, random: Math.random,
};

/** Time since the last request of another host within which this host announces the known hosts, in milliseconds. */
const requestRecencyMilliseconds = 5000;

type KnownHost = {readonly host: PeerHost; seenAt: number};

/**
 * The hosts of this system that this host knows. Each host announces itself to the seeds when it starts. Hosts from which
 * others request the platform's state also announce all known hosts to the seeds periodically.
 */
export class HostRoster {
	readonly #options: HostRosterOptions;
	readonly #known = new Map<string, KnownHost>();
	/** Hosts on the last list of this host's source; they count as seen while the source responds without a new list. */
	#sourceHostIds: readonly string[] = [];
	#version = 0;
	#lastRequestAt = -Infinity;
	#isDiscoveryComplete = false;

	constructor(options: Partial<HostRosterOptions> & Omit<HostRosterOptions, keyof typeof defaultHostRosterOptions>) {
		this.#options = {...defaultHostRosterOptions, ...options};
		this.#add(options.self, options.clock());
	}

	/** Version of the list of hosts; counts changes since the process started. */
	get version(): number {
		return this.#version;
	}

	/** All known hosts, this one included. */
	get hosts(): readonly PeerHost[] {
		return [...this.#known.values()].map(({host}) => host);
	}

	/** Number of hosts; undefined while others may exist that are not known. */
	get count(): number | undefined {
		const {self, getSeeds} = this.#options;
		const isAlone = getSeeds().every(address => address === self.peerAddress);
		return this.#isDiscoveryComplete && (isAlone || this.#known.size > 1) ? this.#known.size : undefined;
	}

	/** Whether discovery is complete: this host has announced itself and requested the list of hosts from the seeds. */
	get isDiscoveryComplete(): boolean {
		return this.#isDiscoveryComplete;
	}

	/**
	 * Lists the known hosts for another host.
	 *
	 * @returns The hosts with the time since they were last seen.
	 */
	listSightings(): HostSighting[] {
		const now = this.#options.clock();
		return [...this.#known.values()].map(({host, seenAt}) => ({...host, seenMilliseconds: host.id === this.#options.self.id ? 0 : Math.round(now - seenAt)}));
	}

	/**
	 * Adds hosts from the list of another host.
	 *
	 * @param sightings - The hosts.
	 */
	merge(sightings: readonly HostSighting[]): void {
		const now = this.#options.clock();
		for (const {seenMilliseconds, ...host} of sightings) {
			if (seenMilliseconds < this.#options.expiryMilliseconds) {
				this.#add(host, now - seenMilliseconds);
			}
		}
	}

	/**
	 * Adopts the list of hosts in a response of this host's source.
	 *
	 * @param sightings - The list; undefined when it has not changed.
	 */
	adopt(sightings: readonly HostSighting[] | undefined): void {
		if (sightings) {
			this.merge(sightings);
			this.#sourceHostIds = sightings.map(({id}) => id);
			return;
		}

		const now = this.#options.clock();
		for (const id of this.#sourceHostIds) {
			const known = this.#known.get(id);
			if (known) {
				known.seenAt = now;
			}
		}
	}

	/**
	 * Records that a host has requested the state from this one.
	 *
	 * @param hostId - Id of the host; one that is not known yet is added later from the list of a seed.
	 */
	recordRequest(hostId: string): void {
		const now = this.#options.clock();
		this.#lastRequestAt = now;
		const known = this.#known.get(hostId);
		if (known) {
			known.seenAt = now;
		}
	}

	/**
	 * Announces this host to the seeds and requests the other hosts from them, then updates the list until the signal is aborted.
	 *
	 * @param signal - Stops the updates.
	 */
	async run(signal: AbortSignal): Promise<void> {
		const {discoveryMilliseconds, retryMilliseconds, intervalMilliseconds, clock} = this.#options;
		while (!signal.aborted && !await this.#announceSelf()) {
			await waitUnlessAborted(retryMilliseconds, signal);
		}

		await waitUnlessAborted(discoveryMilliseconds, signal);
		await this.#fetchHosts();
		this.#isDiscoveryComplete = true;
		while (!signal.aborted) {
			await waitUnlessAborted(intervalMilliseconds, signal);
			this.#removeExpired();
			if (clock() - this.#lastRequestAt < requestRecencyMilliseconds) {
				await this.#announce(this.listSightings());
				await this.#fetchHosts();
			}
		}
	}

	async #announceSelf(): Promise<boolean> {
		return this.#announce([{...this.#options.self, seenMilliseconds: 0}]);
	}

	/** Announces hosts to all seeds concurrently and returns whether one of them was reached. */
	async #announce(sightings: readonly HostSighting[]): Promise<boolean> {
		const seeds = this.#listSeeds();
		const responses = await Promise.all(seeds.map(async address => this.#options.announceHosts(address, sightings)));
		// A host that is the only seed, or has no seeds, does not need to repeat the announcement.
		return seeds.length === 0 || responses.some(response => response.isOk());
	}

	/** Adds the hosts known to the first seed that responds. Each host begins with another seed, so that they share the work. */
	async #fetchHosts(): Promise<void> {
		const seeds = this.#listSeeds();
		const first = Math.floor(this.#options.random() * seeds.length);
		for (const address of [...seeds.slice(first), ...seeds.slice(0, first)]) {
			const response = await this.#options.listHosts(address);
			if (response.isOk()) {
				this.merge(response.value);
				return;
			}
		}
	}

	#listSeeds(): string[] {
		const {self, getSeeds} = this.#options;
		return getSeeds().filter(address => address !== self.peerAddress);
	}

	#add(host: PeerHost, seenAt: number): void {
		const known = this.#known.get(host.id);
		if (known && (known.seenAt > seenAt || hasSameFields(known.host, host))) {
			known.seenAt = Math.max(known.seenAt, seenAt);
			return;
		}

		this.#known.set(host.id, {host, seenAt});
		this.#version += 1;
	}

	#removeExpired(): void {
		const {clock, expiryMilliseconds, self} = this.#options;
		const expiredBefore = clock() - expiryMilliseconds;
		const expired = [...this.#known].filter(([id, {seenAt}]) => id !== self.id && seenAt < expiredBefore).map(([id]) => id);
		if (expired.length === 0) {
			return;
		}

		for (const id of expired) {
			this.#known.delete(id);
		}

		this.#version += 1;
		logger.log(LogLevel.info, 'hosts-removed', {hosts: expired});
	}
}

function hasSameFields(left: PeerHost, right: PeerHost): boolean {
	return left.peerAddress === right.peerAddress && left.failureDomain === right.failureDomain && left.cores === right.cores;
}
