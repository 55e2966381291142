import {waitUntil} from '@tanagerrail/membership';
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
	/** Addresses of hosts that know others; they may be out of date. */
	readonly getSeeds: () => readonly string[];
	/** Tells a host of other hosts. */
	readonly announceHosts: (address: string, sightings: readonly HostSighting[]) => ResultAsync<void, Failure>;
	/** Asks a host which hosts it knows. */
	readonly listHosts: (address: string) => ResultAsync<readonly HostSighting[], Failure>;
	/** Time after the announcement in which hosts that start with this one tell of themselves too, in milliseconds. */
	readonly settleMilliseconds: number;
	/** Pause after an announcement that no seed took, in milliseconds. */
	readonly retryMilliseconds: number;
	/** Time between two announcements of a host that others ask, in milliseconds. */
	readonly intervalMilliseconds: number;
	/** Time after which a host that nobody has heard of counts as gone, in milliseconds. */
	readonly goneMilliseconds: number;
};

/** Defaults of {@link HostRosterOptions}. */
export const defaultHostRosterOptions = {
	settleMilliseconds: 1000, retryMilliseconds: 400, intervalMilliseconds: 20_000, goneMilliseconds: 90_000,
};

/** Time for which a host that asked counts as one that goes on asking, in milliseconds. */
const askingMilliseconds = 5000;

type KnownHost = {readonly host: PeerHost; seenAt: number};

/**
 * The hosts of this system that this host knows. All hosts tell the seeds of themselves when they start; hosts that others
 * ask for the state of the platform tell the seeds from time to time which hosts they hear of.
 */
export class HostRoster {
	readonly #options: HostRosterOptions;
	readonly #known = new Map<string, KnownHost>();
	/** Hosts on the last list of the host that this one asks; they count as seen while it answers. */
	#vouched: readonly string[] = [];
	#changes = 0;
	#askedAt = -Infinity;
	#isSettled = false;

	constructor(options: Partial<HostRosterOptions> & Omit<HostRosterOptions, keyof typeof defaultHostRosterOptions>) {
		this.#options = {...defaultHostRosterOptions, ...options};
		this.#add(options.self, options.clock());
	}

	/** Version of the list of hosts in this life of the process. */
	get version(): number {
		return this.#changes;
	}

	/** All known hosts, this one included. */
	get hosts(): readonly PeerHost[] {
		return [...this.#known.values()].map(({host}) => host);
	}

	/** Number of hosts; nothing while others may exist that are not known. */
	get count(): number | undefined {
		const {self, getSeeds} = this.#options;
		const isAlone = getSeeds().every(address => address === self.peerAddress);
		return this.#isSettled && (isAlone || this.#known.size > 1) ? this.#known.size : undefined;
	}

	/** Whether the hosts that started together with this one are known, as far as the seeds know them. */
	get isSettled(): boolean {
		return this.#isSettled;
	}

	/**
	 * Lists the known hosts for another host.
	 *
	 * @returns The hosts with the time since they were last heard of.
	 */
	listSightings(): HostSighting[] {
		const now = this.#options.clock();
		return [...this.#known.values()].map(({host, seenAt}) => ({...host, seenMilliseconds: host.id === this.#options.self.id ? 0 : Math.round(now - seenAt)}));
	}

	/**
	 * Takes over hosts that another host knows.
	 *
	 * @param sightings - The hosts.
	 */
	merge(sightings: readonly HostSighting[]): void {
		const now = this.#options.clock();
		for (const {seenMilliseconds, ...host} of sightings) {
			if (seenMilliseconds < this.#options.goneMilliseconds) {
				this.#add(host, now - seenMilliseconds);
			}
		}
	}

	/**
	 * Takes over the list of the host that this one asks.
	 *
	 * @param sightings - Its list; nothing when it has not changed.
	 */
	adopt(sightings: readonly HostSighting[] | undefined): void {
		if (sightings) {
			this.merge(sightings);
			this.#vouched = sightings.map(({id}) => id);
			return;
		}

		const now = this.#options.clock();
		for (const id of this.#vouched) {
			const known = this.#known.get(id);
			if (known) {
				known.seenAt = now;
			}
		}
	}

	/**
	 * Notes that a host has asked this one.
	 *
	 * @param hostId - Id of the host; the seeds tell more of one that is not known yet.
	 */
	markAsking(hostId: string): void {
		const now = this.#options.clock();
		this.#askedAt = now;
		const known = this.#known.get(hostId);
		if (known) {
			known.seenAt = now;
		}
	}

	/**
	 * Tells the seeds and learns from them.
	 *
	 * @param signal - Ends the work.
	 */
	async run(signal: AbortSignal): Promise<void> {
		const {settleMilliseconds, retryMilliseconds, intervalMilliseconds, clock} = this.#options;
		while (!signal.aborted && !await this.#announceSelf()) {
			await waitUntil(retryMilliseconds, signal);
		}

		await waitUntil(settleMilliseconds, signal);
		await this.#learn();
		this.#isSettled = true;
		while (!signal.aborted) {
			await waitUntil(intervalMilliseconds, signal);
			this.#dropGone();
			if (clock() - this.#askedAt < askingMilliseconds) {
				await this.#announce(this.listSightings());
				await this.#learn();
			}
		}
	}

	async #announceSelf(): Promise<boolean> {
		return this.#announce([{...this.#options.self, seenMilliseconds: 0}]);
	}

	/** Tells all seeds at once, and tells whether one of them has heard. */
	async #announce(sightings: readonly HostSighting[]): Promise<boolean> {
		const seeds = this.#listSeeds();
		const answers = await Promise.all(seeds.map(async address => this.#options.announceHosts(address, sightings)));
		// A host that is the only seed, or has none, has nobody to wait for.
		return seeds.length === 0 || answers.some(answer => answer.isOk());
	}

	/** Asks the first seed that answers. */
	async #learn(): Promise<void> {
		for (const address of this.#listSeeds()) {
			const answer = await this.#options.listHosts(address);
			if (answer.isOk()) {
				this.merge(answer.value);
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
		if (known && (known.seenAt > seenAt || isSame(known.host, host))) {
			known.seenAt = Math.max(known.seenAt, seenAt);
			return;
		}

		this.#known.set(host.id, {host, seenAt});
		this.#changes += 1;
	}

	#dropGone(): void {
		const {clock, goneMilliseconds, self} = this.#options;
		const oldest = clock() - goneMilliseconds;
		const gone = [...this.#known].filter(([id, {seenAt}]) => id !== self.id && seenAt < oldest).map(([id]) => id);
		if (gone.length === 0) {
			return;
		}

		for (const id of gone) {
			this.#known.delete(id);
		}

		this.#changes += 1;
		logger.log(LogLevel.info, 'hosts-removed', {hosts: gone});
	}
}

function isSame(left: PeerHost, right: PeerHost): boolean {
	return left.peerAddress === right.peerAddress && left.failureDomain === right.failureDomain && left.cores === right.cores;
}
