import {waitUnlessAborted, type RouteFollower} from '@tanagerrail/membership';
import type {
	CrashRecord, CrashTracker, DirectoryChange, EndpointDirectory,
} from '@tanagerrail/routing';
import type {Clock} from '@tanagerrail/telemetry';
import type {HostRoster} from './host-roster.js';
import type {RelayedState, RelayRequest} from './relayed-state.js';

/** Outcome of adopting the state that another host sent. */
export const AdoptionOutcome = {
	adopted: 'adopted',
	/** The other host has a source, but its state is older than that of this host. */
	behind: 'behind',
	/** The other host has no current state. */
	stale: 'stale',
} as const;

/** One of `adopted`, `behind` and `stale`. */
export type AdoptionOutcome = typeof AdoptionOutcome[keyof typeof AdoptionOutcome];

/** Options of {@link PlatformState}. */
export type PlatformStateOptions = {
	readonly clock: Clock;
	/** Id of this run of the process. */
	readonly incarnation: string;
	readonly directory: EndpointDirectory;
	readonly routes: RouteFollower;
	readonly roster: HostRoster;
	readonly crashes: CrashTracker;
	/** Age above which the state no longer counts as current, in milliseconds. */
	readonly staleMilliseconds: number;
	/** Whether this host copies the state from another host or can reach the store. */
	readonly hasSource: () => boolean;
	/** Called with the endpoint changes in an adopted response. */
	readonly onEndpoints: (changes: readonly DirectoryChange[]) => void;
};

/** This host's copy of the platform's state (endpoints, routes and hosts) and its age; other hosts request it from here. */
export class PlatformState {
	readonly #options: PlatformStateOptions;
	readonly #waiters = new Set<AbortController>();
	#confirmedAt = -Infinity;
	#registryVersion = 0;

	constructor(options: PlatformStateOptions) {
		this.#options = options;
	}

	/** Version of the endpoint registry that the known endpoints correspond to. */
	get registryVersion(): number {
		return this.#registryVersion;
	}

	/** Whether any state has been received. */
	get isKnown(): boolean {
		return this.#confirmedAt > -Infinity;
	}

	/** Time since the state was last confirmed, in milliseconds. */
	get age(): number {
		return this.#options.clock() - this.#confirmedAt;
	}

	/** Whether the state is recent and this host has a source for its updates. */
	get isCurrent(): boolean {
		return this.age <= this.#options.staleMilliseconds && this.#options.hasSource();
	}

	/**
	 * Records that the endpoints have been read or confirmed.
	 *
	 * @param registryVersion - Version of the registry.
	 * @param age - Time since they were read, in milliseconds.
	 */
	markCurrent(registryVersion: number, age = 0): void {
		this.#confirmedAt = this.#options.clock() - age;
		this.#registryVersion = registryVersion;
		this.notify();
	}

	/** Wakes all calls that wait for a change. */
	notify(): void {
		const waiters = [...this.#waiters];
		this.#waiters.clear();
		for (const waiter of waiters) {
			waiter.abort();
		}
	}

	/**
	 * Waits until the state contains changes for the requesting host, has been confirmed, or is no longer current. Before the
	 * first state has been received, waits for it while this host has a source.
	 *
	 * @param request - State known to the requesting host.
	 * @param milliseconds - Longest wait.
	 */
	async waitForChange(request: RelayRequest, milliseconds: number): Promise<void> {
		const {clock} = this.#options;
		const endsAt = clock() + milliseconds;
		const previousConfirmedAt = this.#confirmedAt;
		const hasResponse = () => this.isKnown && request.registryVersion <= this.#registryVersion && (this.#hasChanges(request) || this.#confirmedAt !== previousConfirmedAt);
		while ((this.isCurrent || this.#isAwaitingFirstState) && !hasResponse() && clock() < endsAt) {
			await this.#waitForNotification(endsAt - clock());
		}
	}

	/**
	 * Builds the response to a request of another host.
	 *
	 * @param request - State known to the requesting host.
	 * @returns The parts of the state that have changed since.
	 */
	buildResponse({incarnation, cursor, revision, hostsVersion, crashesVersion}: RelayRequest): RelayedState {
		const {directory, routes, roster, crashes} = this.#options;
		const isSameIncarnation = incarnation === this.#options.incarnation;
		const table = routes.current?.table;
		return {
			incarnation: this.#options.incarnation,
			hasSource: this.#options.hasSource(),
			// JSON has no infinite numbers.
			age: Math.min(this.age, Number.MAX_SAFE_INTEGER),
			registryVersion: this.#registryVersion,
			directory: directory.listChanges(isSameIncarnation ? cursor : 0),
			routes: table && table.revision > revision ? table : undefined,
			hostsVersion: roster.version,
			hosts: isSameIncarnation && hostsVersion === roster.version ? undefined : roster.listSightings(),
			crashes: crashes.listChanges(isSameIncarnation ? crashesVersion : 0),
		};
	}

	/**
	 * Adopts the state that another host sent, unless it is stale, older than the state of this host, or from a host without a
	 * source.
	 *
	 * @param state - Response of the other host.
	 * @returns Whether the state was adopted, or why not.
	 */
	adopt({hasSource, age, registryVersion, directory, routes, hosts, crashes}: RelayedState): AdoptionOutcome {
		// Counts of crashes only rise, so they are useful at any age.
		this.adoptCrashes(crashes?.records ?? []);
		if (!hasSource || age > this.#options.staleMilliseconds) {
			return AdoptionOutcome.stale;
		}

		if (registryVersion < this.#registryVersion) {
			return AdoptionOutcome.behind;
		}

		this.#options.onEndpoints(this.#options.directory.adopt(directory));
		if (routes) {
			this.#options.routes.adopt(routes);
		}

		this.#options.roster.adopt(hosts);
		this.markCurrent(registryVersion, age);
		return AdoptionOutcome.adopted;
	}

	/**
	 * Adopts crash records of another host.
	 *
	 * @param records - Crashes by fingerprint.
	 */
	adoptCrashes(records: readonly CrashRecord[]): void {
		this.#options.crashes.adopt(records);
	}

	get #isAwaitingFirstState(): boolean {
		return !this.isKnown && this.#options.hasSource();
	}

	async #waitForNotification(milliseconds: number): Promise<void> {
		const waiter = new AbortController();
		this.#waiters.add(waiter);
		await waitUnlessAborted(milliseconds, waiter.signal);
		this.#waiters.delete(waiter);
	}

	#hasChanges({incarnation, cursor, revision, hostsVersion, crashesVersion}: RelayRequest): boolean {
		const {directory, routes} = this.#options;
		return incarnation !== this.#options.incarnation || cursor !== directory.cursor || hostsVersion !== this.#options.roster.version
			|| crashesVersion !== this.#options.crashes.version
			|| (routes.current?.table.revision ?? -1) > revision;
	}
}
