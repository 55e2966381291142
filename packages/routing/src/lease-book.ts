import type {Endpoint} from './endpoint.js';

/** A slot that a host keeps for its next request. */
type Lease = {readonly endpoint: Endpoint; readonly hostId: string};

/** Options of {@link LeaseBook}. */
export type LeaseBookOptions = {
	/** Share of the quota that is never leased, so that a busy host finds a free slot without a recall. */
	readonly unleasedShare: number;
	/** Called when a host must give its leased slots back. */
	readonly onRecall: (hostId: string) => void;
};

/** Defaults of {@link LeaseBookOptions}. */
export const defaultLeaseBookOptions: LeaseBookOptions = {unleasedShare: 0.25, onRecall: () => undefined};

/** What {@link LeaseBook.isAllowed} looks at. */
export type LeaseQuestion = {
	readonly hostId: string;
	readonly quota: number;
	readonly inUse: number;
	/** Live entry hosts. */
	readonly hosts: number;
};

/** Leased slots of one service: idle slots that stay with hosts, so that their next request needs no round trip. */
export class LeaseBook {
	readonly #options: LeaseBookOptions;
	readonly #leases = new Map<string, Lease>();
	readonly #recalled = new Set<string>();

	constructor(options: Partial<LeaseBookOptions> = {}) {
		this.#options = {...defaultLeaseBookOptions, ...options};
	}

	get size(): number {
		return this.#leases.size;
	}

	/**
	 * Tells whether a host may keep one more slot.
	 *
	 * @param question - The host, the slots in use and the number of hosts.
	 * @returns Whether enough slots stay free and the host has not reached its share.
	 */
	isAllowed({hostId, quota, inUse, hosts}: LeaseQuestion): boolean {
		if (quota - inUse - this.#leases.size <= quota * this.#options.unleasedShare) {
			return false;
		}

		let held = 0;
		for (const lease of this.#leases.values()) {
			held += lease.hostId === hostId ? 1 : 0;
		}

		return held < Math.ceil(quota / Math.max(1, hosts));
	}

	/**
	 * Leaves a slot with a host.
	 *
	 * @param grantId - Id of the lease.
	 * @param lease - Endpoint of the slot and the host.
	 */
	add(grantId: string, lease: Lease): void {
		this.#recalled.delete(lease.hostId);
		this.#leases.set(grantId, lease);
		lease.endpoint.addLease(grantId);
	}

	/**
	 * Ends a lease, because the slot is used or given back.
	 *
	 * @param grantId - Id of the lease.
	 */
	remove(grantId: string): void {
		const lease = this.#leases.get(grantId);
		this.#leases.delete(grantId);
		lease?.endpoint.removeLease(grantId);
	}

	/**
	 * Ends all leases of a host.
	 *
	 * @param hostId - Id of the host.
	 */
	removeHost(hostId: string): void {
		this.#recalled.delete(hostId);
		for (const [grantId, lease] of this.#leases) {
			if (lease.hostId === hostId) {
				this.remove(grantId);
			}
		}
	}

	/**
	 * Asks hosts for their leased slots, each host once until it gets a new lease.
	 *
	 * @param isConcerned - Which endpoints' slots are wanted back; all by default.
	 */
	recall(isConcerned: (endpoint: Endpoint) => boolean = () => true): void {
		for (const {hostId, endpoint} of this.#leases.values()) {
			if (!this.#recalled.has(hostId) && isConcerned(endpoint)) {
				this.#recalled.add(hostId);
				this.#options.onRecall(hostId);
			}
		}
	}
}
