import {waitUntil, type RouteFollower} from '@tanagerrail/membership';
import type {DirectoryChange, EndpointDirectory} from '@tanagerrail/routing';
import type {Clock} from '@tanagerrail/telemetry';
import type {HostRoster} from './host-roster.js';
import type {RelayedState, RelayQuestion} from './relayed-state.js';

/** What an answer of another host was worth. */
export const Adoption = {
	adopted: 'adopted',
	/** The other host reads the store, but has not read it as recently as this one. */
	behind: 'behind',
	/** The other host does not know the current state. */
	stale: 'stale',
} as const;

/** One of `adopted`, `behind` and `stale`. */
export type Adoption = typeof Adoption[keyof typeof Adoption];

/** Options of {@link PlatformState}. */
export type PlatformStateOptions = {
	readonly clock: Clock;
	/** Id of this life of the process. */
	readonly incarnation: string;
	readonly directory: EndpointDirectory;
	readonly routes: RouteFollower;
	readonly roster: HostRoster;
	/** Age above which the state no longer counts as current, in milliseconds. */
	readonly staleMilliseconds: number;
	/** Whether this host reads the store or hears from a host that does. */
	readonly hasSource: () => boolean;
	/** Called when another host has told of changes of endpoints. */
	readonly onEndpoints: (changes: readonly DirectoryChange[]) => void;
};

/** What this host knows of the platform, and since when; hosts tell each other of it. */
export class PlatformState {
	readonly #options: PlatformStateOptions;
	readonly #waiters = new Set<AbortController>();
	#currentAt = -Infinity;
	#registryVersion = 0;

	constructor(options: PlatformStateOptions) {
		this.#options = options;
	}

	/** Version of the registry at which the endpoints are known. */
	get registryVersion(): number {
		return this.#registryVersion;
	}

	/** Whether the state has ever been current. */
	get isKnown(): boolean {
		return this.#currentAt > -Infinity;
	}

	/** Time since the state was last known to be current, in milliseconds. */
	get age(): number {
		return this.#options.clock() - this.#currentAt;
	}

	/** Whether the state is recent and will be kept so. */
	get isCurrent(): boolean {
		return this.age <= this.#options.staleMilliseconds && this.#options.hasSource();
	}

	/**
	 * Notes that the endpoints are known as of now.
	 *
	 * @param registryVersion - Version of the registry.
	 * @param age - Time since they were read, in milliseconds.
	 */
	markCurrent(registryVersion: number, age = 0): void {
		this.#currentAt = this.#options.clock() - age;
		this.#registryVersion = registryVersion;
		this.notify();
	}

	/** Ends the wait of those who wait for news. */
	notify(): void {
		const waiters = [...this.#waiters];
		this.#waiters.clear();
		for (const waiter of waiters) {
			waiter.abort();
		}
	}

	/**
	 * Waits until there is news for a host that asks, the state has been confirmed, or it no longer counts as current. A
	 * state that is about to be known for the first time is waited for too.
	 *
	 * @param question - What the host knows.
	 * @param milliseconds - Longest wait.
	 */
	async waitNews(question: RelayQuestion, milliseconds: number): Promise<void> {
		const {clock} = this.#options;
		const endsAt = clock() + milliseconds;
		const confirmedAt = this.#currentAt;
		const hasAnswer = () => this.isKnown && question.registryVersion <= this.#registryVersion && (this.#hasNews(question) || this.#currentAt !== confirmedAt);
		while ((this.isCurrent || this.#isExpected) && !hasAnswer() && clock() < endsAt) {
			await this.#waitChange(endsAt - clock());
		}
	}

	/**
	 * Tells another host what it does not know.
	 *
	 * @param question - What it knows.
	 * @returns The rest.
	 */
	describe({incarnation, cursor, revision, hostsVersion}: RelayQuestion): RelayedState {
		const {directory, routes, roster} = this.#options;
		const isKnown = incarnation === this.#options.incarnation;
		const table = routes.current?.table;
		return {
			incarnation: this.#options.incarnation,
			hasSource: this.#options.hasSource(),
			// JSON has no infinite numbers.
			age: Math.min(this.age, Number.MAX_SAFE_INTEGER),
			registryVersion: this.#registryVersion,
			directory: directory.listChanges(isKnown ? cursor : 0),
			routes: table && table.revision > revision ? table : undefined,
			hostsVersion: roster.version,
			hosts: isKnown && hostsVersion === roster.version ? undefined : roster.listSightings(),
		};
	}

	/**
	 * Takes over what another host tells, unless that is stale, behind what is known here, or about to become stale.
	 *
	 * @param state - The answer of the other host.
	 * @returns Whether it was taken over, or why not.
	 */
	adopt({hasSource, age, registryVersion, directory, routes, hosts}: RelayedState): Adoption {
		if (!hasSource || age > this.#options.staleMilliseconds) {
			return Adoption.stale;
		}

		if (registryVersion < this.#registryVersion) {
			return Adoption.behind;
		}

		this.#options.onEndpoints(this.#options.directory.adopt(directory));
		if (routes) {
			this.#options.routes.adopt(routes);
		}

		this.#options.roster.adopt(hosts);
		this.markCurrent(registryVersion, age);
		return Adoption.adopted;
	}

	get #isExpected(): boolean {
		return !this.isKnown && this.#options.hasSource();
	}

	async #waitChange(milliseconds: number): Promise<void> {
		const waiter = new AbortController();
		this.#waiters.add(waiter);
		await waitUntil(milliseconds, waiter.signal);
		this.#waiters.delete(waiter);
	}

	#hasNews({incarnation, cursor, revision, hostsVersion}: RelayQuestion): boolean {
		const {directory, routes} = this.#options;
		return incarnation !== this.#options.incarnation || cursor !== directory.cursor || hostsVersion !== this.#options.roster.version
			|| (routes.current?.table.revision ?? -1) > revision;
	}
}
