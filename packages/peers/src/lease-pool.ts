import type {SlotRequest} from '@tanagerrail/routing';
import type {LinkGrant, SlotLink} from './slot-link.js';

/** A slot that this host keeps, and the link to the allocator that leased it. */
export type HeldLease = LinkGrant & {readonly link: SlotLink; readonly service: string};

/** Leased slots of this host. */
export class LeasePool {
	readonly #leases = new Map<string, HeldLease[]>();

	/**
	 * Adds a leased slot.
	 *
	 * @param lease - The slot.
	 */
	add(lease: HeldLease): void {
		this.#getLeases(lease.service).push(lease);
	}

	/**
	 * Takes a leased slot for a request, the latest first.
	 *
	 * @param request - The request.
	 * @param isUsable - Whether a lease is still valid.
	 * @returns The lease, or nothing.
	 */
	take(request: SlotRequest, isUsable: (lease: HeldLease) => boolean): HeldLease | undefined {
		const leases = this.#getLeases(request.service);
		const index = leases.findLastIndex(lease => !request.excluded.includes(lease.endpointId) && isUsable(lease));
		return index === -1 ? undefined : leases.splice(index, 1)[0];
	}

	/**
	 * Removes the leased slots of a service that one allocator gave.
	 *
	 * @param link - Link to the allocator.
	 * @param service - Name of the service.
	 * @returns The removed leases.
	 */
	remove(link: SlotLink, service: string): HeldLease[] {
		const leases = this.#getLeases(service);
		this.#leases.set(service, leases.filter(lease => lease.link !== link));
		return leases.filter(lease => lease.link === link);
	}

	/**
	 * Drops the leases of an allocator that is gone.
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

	#getLeases(service: string): HeldLease[] {
		const known = this.#leases.get(service);
		if (known) {
			return known;
		}

		const leases: HeldLease[] = [];
		this.#leases.set(service, leases);
		return leases;
	}
}
