import type {Endpoint} from './endpoint.js';

/** The endpoint of a leased slot and the host that keeps the slot for its next request. */
type Lease = {readonly endpoint: Endpoint; readonly hostId: string};

/** Options of {@link LeaseTracker}. */
export type LeaseTrackerOptions = {
	/** Share of the quota that is never leased, so that a busy host can get a free slot without a recall. */
	readonly unleasedShare: number;
	/** Called when a host must return its leased slots. */
	readonly onRecall: (hostId: string) => void;
};

/** Defaults of {@link LeaseTrackerOptions}. */
export const defaultLeaseTrackerOptions: LeaseTrackerOptions = {unleasedShare: 0.25, onRecall: () => undefined};

/** Input of {@link LeaseTracker.isAllowed}. */
export type LeaseRequest = {
	readonly hostId: string;
	readonly quota: number;
	readonly inUse: number;
	/** Number of live entry hosts. */
	readonly hostCount: number;
};

/** Tracks the leased slots of one service: idle slots that hosts keep, so that their next request needs no round trip. */
export class LeaseTracker {
	readonly #options: LeaseTrackerOptions;
	readonly #leases = new Map<string, Lease>();
	/** Hosts that were asked to return their leased slots and have got no new lease since. */
	readonly #recalledHosts = new Set<string>();

	constructor(options: Partial<LeaseTrackerOptions> = {}) {
		this.#options = {...defaultLeaseTrackerOptions, ...options};
	}

	get size(): number {
		return this.#leases.size;
	}

	/**
	 * Tells whether a host may keep one more slot.
	 *
	 * @param request - The host, the slots in use and the number of hosts.
	 * @returns Whether enough slots stay unleased and the host has not reached its share.
	 */
	isAllowed({hostId, quota, inUse, hostCount}: LeaseRequest): boolean {
		if (quota - inUse - this.#leases.size <= quota * this.#options.unleasedShare) {
			return false;
		}

		let leased = 0;
		for (const lease of this.#leases.values()) {
			leased += lease.hostId === hostId ? 1 : 0;
		}

		return leased < Math.ceil(quota / Math.max(1, hostCount));
	}

	/**
	 * Leases a slot to a host.
	 *
	 * @param grantId - Id of the lease.
	 * @param lease - Endpoint of the slot and the host.
	 */
	add(grantId: string, lease: Lease): void {
		this.#recalledHosts.delete(lease.hostId);
		this.#leases.set(grantId, lease);
		lease.endpoint.addLease(grantId);
	}

	/**
	 * Ends a lease, because the slot is used or released.
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
		this.#recalledHosts.delete(hostId);
		for (const [grantId, lease] of this.#leases) {
			if (lease.hostId === hostId) {
				this.remove(grantId);
			}
		}
	}

	/**
	 * Requests that hosts return their leased slots. A host is asked only once until it gets a new lease.
	 *
	 * @param isEligible - Whether a lease at the endpoint causes a recall from its host; by default each lease does.
	 */
	recall(isEligible: (endpoint: Endpoint) => boolean = () => true): void {
		for (const {hostId, endpoint} of this.#leases.values()) {
			if (!this.#recalledHosts.has(hostId) && isEligible(endpoint)) {
				this.#recalledHosts.add(hostId);
				this.#options.onRecall(hostId);
			}
		}
	}
}
