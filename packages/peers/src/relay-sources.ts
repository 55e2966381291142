import type {RegisteredHost} from '@tanagerrail/membership';
import type {Clock} from '@tanagerrail/telemetry';

/** Options of {@link RelaySources}. */
export type RelaySourcesOptions = {
	readonly clock: Clock;
	readonly hostId: string;
	/** Failure domain of this host. */
	readonly failureDomain: string;
	readonly listHosts: () => readonly RegisteredHost[];
	/** Time for which a host that gave no current answer is not asked again, in milliseconds; doubled with each failure. */
	readonly avoidMilliseconds: number;
	readonly maximumAvoidMilliseconds: number;
};

/** Defaults of {@link RelaySourcesOptions}. */
export const defaultRelaySourcesOptions = {avoidMilliseconds: 1000, maximumAvoidMilliseconds: 16_000};

type Avoidance = {readonly until: number; readonly milliseconds: number};

/**
 * The hosts that this host may ask. In each failure domain the hosts are in one order, the largest machine first. Each asks
 * the first of those before it that answers, so that no two hosts wait for each other, and the first one reads the store.
 */
export class RelaySources {
	readonly #options: RelaySourcesOptions;
	readonly #avoided = new Map<string, Avoidance>();
	#next = 0;

	constructor(options: Partial<RelaySourcesOptions> & Omit<RelaySourcesOptions, keyof typeof defaultRelaySourcesOptions>) {
		this.#options = {...defaultRelaySourcesOptions, ...options};
	}

	/** Whether another host comes before this one, whatever it answers. */
	get hasPredecessor(): boolean {
		const [first] = this.#rankNear();
		return first !== undefined && first.id !== this.#options.hostId;
	}

	/**
	 * Finds the host to ask.
	 *
	 * @returns The first host before this one that has not failed of late, or nothing when this host reads the store.
	 */
	findPreferred(): RegisteredHost | undefined {
		const {hostId, clock} = this.#options;
		const ranked = this.#rankNear();
		const position = ranked.findIndex(({id}) => id === hostId);
		const now = clock();
		return ranked.slice(0, Math.max(0, position)).find(({id}) => now >= (this.#avoided.get(id)?.until ?? 0));
	}

	/**
	 * Picks a host for a question while the store cannot be reached: hosts of the same failure domain in turn, then others.
	 *
	 * @returns A host, or nothing when there is no other.
	 */
	pickOther(): RegisteredHost | undefined {
		const {hostId, failureDomain, listHosts} = this.#options;
		const others = [...this.#rankNear(), ...listHosts().filter(host => host.failureDomain !== failureDomain)].filter(({id}) => id !== hostId);
		this.#next += 1;
		return others[this.#next % Math.max(1, others.length)];
	}

	/**
	 * Notes that a host gave no current answer.
	 *
	 * @param id - Id of the host.
	 */
	skip(id: string): void {
		const {clock, avoidMilliseconds, maximumAvoidMilliseconds} = this.#options;
		const milliseconds = Math.min(maximumAvoidMilliseconds, 2 * (this.#avoided.get(id)?.milliseconds ?? avoidMilliseconds / 2));
		this.#avoided.set(id, {until: clock() + milliseconds, milliseconds});
	}

	/**
	 * Notes that a host gave a current answer.
	 *
	 * @param id - Id of the host.
	 */
	resume(id: string): void {
		this.#avoided.delete(id);
	}

	#rankNear(): RegisteredHost[] {
		const {failureDomain, listHosts} = this.#options;
		return listHosts().filter(host => host.failureDomain === failureDomain)
			.sort((left, right) => (right.cores - left.cores) || (left.id < right.id ? -1 : 1));
	}
}
