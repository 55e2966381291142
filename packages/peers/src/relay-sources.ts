import type {Clock} from '@tanagerrail/telemetry';
import type {PeerHost} from './peer-host.js';

/** Options of {@link RelaySources}. */
export type RelaySourcesOptions = {
	readonly clock: Clock;
	readonly hostId: string;
	/** Failure domain of this host. */
	readonly failureDomain: string;
	readonly listHosts: () => readonly PeerHost[];
	/** Time for which a host that sent no current response is skipped, in milliseconds; doubled with each failure. */
	readonly backoffMilliseconds: number;
	readonly maximumBackoffMilliseconds: number;
};

/** Defaults of {@link RelaySourcesOptions}. */
export const defaultRelaySourcesOptions = {backoffMilliseconds: 1000, maximumBackoffMilliseconds: 16_000};

type Backoff = {readonly until: number; readonly milliseconds: number};

/** Number of hosts in each preceding failure domain that a host may copy the state from. */
const maximumSourcesPerDomain = 2;

/**
 * The hosts from which this host may copy the platform's state. Failure domains are ordered by name, and the hosts of a failure
 * domain by processor cores, most first. Except for {@link RelaySources.pickFallback}, a host copies only from hosts that
 * precede it in this order, so that no two hosts wait for each other: from the first one in its own failure domain that responds,
 * otherwise from one of the first hosts of the preceding failure domains. The first host of all reads the store.
 */
export class RelaySources {
	readonly #options: RelaySourcesOptions;
	readonly #backoffs = new Map<string, Backoff>();
	/** Number of calls of {@link pickFallback}. */
	#pickCount = 0;

	constructor(options: Partial<RelaySourcesOptions> & Omit<RelaySourcesOptions, keyof typeof defaultRelaySourcesOptions>) {
		this.#options = {...defaultRelaySourcesOptions, ...options};
	}

	/** Whether another host precedes this one, whether or not it responds. */
	get hasPredecessor(): boolean {
		return this.#listPredecessors().length > 0;
	}

	/** Whether this host is the first of its failure domain, from which the others copy the state. */
	get isFirstOfDomain(): boolean {
		const {hostId, failureDomain} = this.#options;
		const [first] = this.#rank(failureDomain);
		return first === undefined || first.id === hostId;
	}

	/**
	 * Finds a host by its id.
	 *
	 * @param id - Id of the host.
	 * @returns The host, or undefined if it is not known.
	 */
	findHost(id: string): PeerHost | undefined {
		return this.#options.listHosts().find(host => host.id === id);
	}

	/**
	 * Finds the host to copy the state from.
	 *
	 * @returns The first preceding host that is not in backoff, or undefined if this host should read the store.
	 */
	findPreferred(): PeerHost | undefined {
		const now = this.#options.clock();
		return this.#listPredecessors().find(({id}) => now >= (this.#backoffs.get(id)?.until ?? 0));
	}

	/**
	 * Picks a host for a request while the store cannot be reached. Every second call returns the first preceding host,
	 * which receives new state earliest when the store recovers; the other calls iterate over all hosts.
	 *
	 * @returns A host, or undefined if there is no other.
	 */
	pickFallback(): PeerHost | undefined {
		const {hostId, listHosts} = this.#options;
		this.#pickCount += 1;
		const [first] = this.#listPredecessors();
		if (first && this.#pickCount % 2 === 0) {
			return first;
		}

		const others = listHosts().filter(({id}) => id !== hostId);
		return others[Math.floor(this.#pickCount / 2) % Math.max(1, others.length)];
	}

	/**
	 * Records that a host sent no current response, which starts or extends its backoff.
	 *
	 * @param id - Id of the host.
	 */
	recordFailure(id: string): void {
		const {clock, backoffMilliseconds, maximumBackoffMilliseconds} = this.#options;
		const milliseconds = Math.min(maximumBackoffMilliseconds, 2 * (this.#backoffs.get(id)?.milliseconds ?? backoffMilliseconds / 2));
		this.#backoffs.set(id, {until: clock() + milliseconds, milliseconds});
	}

	/**
	 * Records that a host sent a current response, which ends its backoff.
	 *
	 * @param id - Id of the host.
	 */
	recordSuccess(id: string): void {
		this.#backoffs.delete(id);
	}

	#listPredecessors(): PeerHost[] {
		const {hostId, failureDomain, listHosts} = this.#options;
		const sameDomain = this.#rank(failureDomain);
		const predecessors = sameDomain.slice(0, Math.max(0, sameDomain.findIndex(({id}) => id === hostId)));
		const earlierDomains = [...new Set(listHosts().map(host => host.failureDomain))].filter(domain => domain < failureDomain).sort();
		return [...predecessors, ...earlierDomains.flatMap(domain => this.#rank(domain).slice(0, maximumSourcesPerDomain))];
	}

	#rank(domain: string): PeerHost[] {
		return this.#options.listHosts().filter(({failureDomain}) => failureDomain === domain)
			.sort((left, right) => (right.cores - left.cores) || (left.id < right.id ? -1 : 1));
	}
}
