import type {SlotRequest} from '@tanagerrail/routing';
import type {LinkGrant, SlotLink} from './slot-link.js';

/** An idle slot that an allocator leased to this host, and the link to that allocator. */
export type Lease = LinkGrant & {readonly link: SlotLink; readonly service: string};

/** Leased slots of this host. A request takes one without a round trip to the allocator. */
export class LeasePool {
	readonly #leases = new Map<string, Lease[]>();

	/**
	 * Adds a leased slot.
	 *
	 * @param lease - The lease.
	 */
	add(lease: Lease): void {
		this.#getLeases(lease.service).push(lease);
	}

	/**
	 * Takes the most recently added usable slot for a request.
	 *
	 * @param request - The request.
	 * @param isUsable - Returns whether a lease is still valid.
	 * @returns The lease, or undefined.
	 */
	take(request: SlotRequest, isUsable: (lease: Lease) => boolean): Lease | undefined {
		const leases = this.#getLeases(request.service);
		const index = leases.findLastIndex(lease => !request.excluded.includes(lease.endpointId) && isUsable(lease));
		return index === -1 ? undefined : leases.splice(index, 1)[0];
	}

	/**
	 * Removes the slots of a service that one allocator leased to this host.
	 *
	 * @param link - Link to the allocator.
	 * @param service - Name of the service.
	 * @returns The removed leases.
	 */
	remove(link: SlotLink, service: string): Lease[] {
		const leases = this.#getLeases(service);
		this.#leases.set(service, leases.filter(lease => lease.link !== link));
		return leases.filter(lease => lease.link === link);
	}

	/**
	 * Drops all leases of an allocator whose link has closed.
	 *
	 * @param link - Link to the allocator.
	 */
	drop(link: SlotLink): void {
		for (const service of this.#leases.keys()) {
			this.remove(link, service);
		}
	}

	/** Drops all leases. */
	reset(): void {
		this.#leases.clear();
	}

	#getLeases(service: string): Lease[] {
		const known = this.#leases.get(service);
		if (known) {
			return known;
		}

		const leases: Lease[] = [];
		this.#leases.set(service, leases);
		return leases;
	}
}
