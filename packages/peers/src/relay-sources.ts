import type {Clock} from '@tanagerrail/telemetry';
import type {PeerHost} from './peer-host.js';

/** Options of {@link RelaySources}. */
export type RelaySourcesOptions = {
	readonly clock: Clock;
	readonly hostId: string;
	/** Failure domain of this host. */
	readonly failureDomain: string;
	readonly listHosts: () => readonly PeerHost[];
	/** Time for which a host that gave no current answer is not asked again, in milliseconds; doubled with each failure. */
	readonly avoidMilliseconds: number;
	readonly maximumAvoidMilliseconds: number;
};

/** Defaults of {@link RelaySourcesOptions}. */
export const defaultRelaySourcesOptions = {avoidMilliseconds: 1000, maximumAvoidMilliseconds: 16_000};

type Avoidance = {readonly until: number; readonly milliseconds: number};

/** Hosts of each earlier failure domain that the first host of a failure domain may ask. */
const askedPerDomain = 2;

/**
 * The hosts that this host may ask. In each failure domain the hosts are in one order, the largest machine first, and the
 * failure domains are in the order of their names. Each host asks the first of those before it that answers, the first of
 * a failure domain those of earlier ones, so that no two hosts wait for each other, and the very first one reads the store.
 */
export class RelaySources {
	readonly #options: RelaySourcesOptions;
	readonly #avoided = new Map<string, Avoidance>();
	#turn = 0;

	constructor(options: Partial<RelaySourcesOptions> & Omit<RelaySourcesOptions, keyof typeof defaultRelaySourcesOptions>) {
		this.#options = {...defaultRelaySourcesOptions, ...options};
	}

	/** Whether another host comes before this one, whatever it answers. */
	get hasPredecessor(): boolean {
		return this.#listPredecessors().length > 0;
	}

	/** Whether this host is the first of its failure domain, through which the others hear. */
	get isFirstOfDomain(): boolean {
		const {hostId, failureDomain} = this.#options;
		const [first] = this.#rank(failureDomain);
		return first === undefined || first.id === hostId;
	}

	/**
	 * Finds the host to ask.
	 *
	 * @returns The first host before this one that has not failed of late, or nothing when this host reads the store.
	 */
	findPreferred(): PeerHost | undefined {
		const now = this.#options.clock();
		return this.#listPredecessors().find(({id}) => now >= (this.#avoided.get(id)?.until ?? 0));
	}

	/**
	 * Picks a host for a question while the store cannot be reached: in turn the first one before this host, which will
	 * hear soonest that the store is back, and one of the others.
	 *
	 * @returns A host, or nothing when there is no other.
	 */
	pickOther(): PeerHost | undefined {
		const {hostId, listHosts} = this.#options;
		this.#turn += 1;
		const [first] = this.#listPredecessors();
		if (first && this.#turn % 2 === 0) {
			return first;
		}

		const others = listHosts().filter(({id}) => id !== hostId);
		return others[Math.floor(this.#turn / 2) % Math.max(1, others.length)];
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

	#listPredecessors(): PeerHost[] {
		const {hostId, failureDomain, listHosts} = this.#options;
		const near = this.#rank(failureDomain);
		const before = near.slice(0, Math.max(0, near.findIndex(({id}) => id === hostId)));
		const earlier = [...new Set(listHosts().map(host => host.failureDomain))].filter(domain => domain < failureDomain).sort();
		return [...before, ...earlier.flatMap(domain => this.#rank(domain).slice(0, askedPerDomain))];
	}

	#rank(domain: string): PeerHost[] {
		return this.#options.listHosts().filter(({failureDomain}) => failureDomain === domain)
			.sort((left, right) => (right.cores - left.cores) || (left.id < right.id ? -1 : 1));
	}
}
