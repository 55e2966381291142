import type {Clock} from '@tanagerrail/telemetry';
import {DirectoryChangeLog} from './directory-change-log.js';

/** An entry of the registry for one endpoint. */
export type EndpointListing = {
	readonly id: string;
	/** `ip:port` of the endpoint. */
	readonly address: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly slots: number;
	/** Whether the endpoint has announced that it is draining. */
	readonly isDraining: boolean;
	/** Time of its start, in Unix milliseconds; 0 if the registry does not provide it. */
	readonly startedAt: number;
	/** Sequence number of its last heartbeat; starts again with each start of the endpoint. */
	readonly sequence: number;
	/** Remaining time of its warm-up, during which it is slower than usual, in milliseconds. */
	readonly coldMilliseconds: number;
};

/** An endpoint in the directory. */
export type DirectoryEndpoint = EndpointListing & {
	/** Monotonic time at which the warm-up ends, in milliseconds. */
	readonly coldUntil: number;
	/** Monotonic time at which the entry was found missing in the registry, in milliseconds; nothing while it is listed. */
	readonly missingSince: number | undefined;
};

/** A change of one endpoint in the directory. */
export type DirectoryChange = {
	readonly endpoint: DirectoryEndpoint;
	/**
	 * `missing`: not listed, but kept during the grace period after an outage. `returned`: listed again after it was missing.
	 * `changed`: its address or service is different.
	 */
	readonly kind: 'added' | 'draining' | 'restarted' | 'removed' | 'missing' | 'returned' | 'changed';
};

/** Changes of a directory that are sent to another host. */
export type DirectoryDelta = {
	/** Position in the change log of the sending directory after these changes. */
	readonly cursor: number;
	/** Whether the message contains all endpoints, not only those that have changed. */
	readonly isFull: boolean;
	/** Endpoints that were added or have changed, with the time of their warm-up that remains on sending. */
	readonly endpoints: readonly EndpointListing[];
	/** Ids of removed endpoints. */
	readonly removed: readonly string[];
};

/** Options of {@link EndpointDirectory}. */
export type EndpointDirectoryOptions = {
	readonly clock: Clock;
	/**
	 * Time after an outage of the registry for which endpoints without an entry are kept, in milliseconds. Their entries may have
	 * expired during the outage and be written again.
	 */
	readonly graceMilliseconds: number;
};

/** Defaults of {@link EndpointDirectoryOptions}. */
export const defaultEndpointDirectoryOptions = {graceMilliseconds: 1500};

/** The endpoints of all services, from listings of the registry or from another host. */
export class EndpointDirectory {
	readonly #options: EndpointDirectoryOptions;
	readonly #endpoints = new Map<string, DirectoryEndpoint>();
	readonly #log = new DirectoryChangeLog();
	#byService = new Map<string, DirectoryEndpoint[]>();
	/** Monotonic time until which missing entries are kept after an outage of the registry, in milliseconds. */
	#graceUntil = 0;
	#isLoaded = false;

	constructor(options: Partial<EndpointDirectoryOptions> & Pick<EndpointDirectoryOptions, 'clock'>) {
		this.#options = {...defaultEndpointDirectoryOptions, ...options};
	}

	/** Whether the directory has received a listing. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Position after the last change of the directory. */
	get cursor(): number {
		return this.#log.cursor;
	}

	/** All endpoints, including missing and draining ones. */
	get all(): readonly DirectoryEndpoint[] {
		return [...this.#endpoints.values()];
	}

	/**
	 * Returns the endpoints of a service that may take new work.
	 *
	 * @param service - Name of the service.
	 * @returns Endpoints that are not draining.
	 */
	list(service: string): readonly DirectoryEndpoint[] {
		return this.#byService.get(service) ?? [];
	}

	/** Starts the grace period after an outage of the registry, during which entries of live endpoints may have expired. */
	handleOutageEnd(): void {
		this.#graceUntil = this.#options.clock() + this.#options.graceMilliseconds;
	}

	/**
	 * Applies a full listing of the registry.
	 *
	 * @param listings - All entries that name an endpoint.
	 * @returns The resulting changes.
	 */
	update(listings: readonly EndpointListing[]): readonly DirectoryChange[] {
		const now = this.#options.clock();
		const changes: DirectoryChange[] = [];
		const listedIds = new Set<string>();
		for (const listing of listings) {
			listedIds.add(listing.id);
			const change = this.#updateListing(listing, now);
			if (change) {
				changes.push(change);
			}
		}

		for (const endpoint of this.#endpoints.values()) {
			if (!listedIds.has(endpoint.id)) {
				changes.push(...this.#handleMissing(endpoint, now));
			}
		}

		this.#finishUpdate(changes);
		return changes;
	}

	/**
	 * Lists the changes after a position, for another host.
	 *
	 * @param after - Position up to which the other host has this directory; 0 requests all endpoints.
	 * @returns The changes.
	 */
	listChanges(after: number): DirectoryDelta {
		const now = this.#options.clock();
		const {isFull, changed, removed} = this.#log.listChanges(after);
		return {
			cursor: this.#log.cursor, isFull, removed, endpoints: changed.map(id => convertToListing(this.#endpoints.get(id)!, now)),
		};
	}

	/**
	 * Applies changes from another host. There is no grace period, because the other host has already applied it.
	 *
	 * @param delta - The received changes.
	 * @returns The resulting changes of this directory.
	 */
	adopt({isFull, endpoints, removed}: DirectoryDelta): readonly DirectoryChange[] {
		const now = this.#options.clock();
		const changes = endpoints.map(listing => this.#updateListing(listing, now)).filter(change => change !== undefined);
		const listedIds = new Set(endpoints.map(({id}) => id));
		const removedIds = isFull ? [...this.#endpoints.keys()].filter(id => !listedIds.has(id)) : removed;
		for (const id of removedIds) {
			const endpoint = this.#endpoints.get(id);
			if (endpoint) {
				this.#endpoints.delete(id);
				changes.push({endpoint, kind: 'removed'});
			}
		}

		this.#finishUpdate(changes);
		return changes;
	}

	#finishUpdate(changes: readonly DirectoryChange[]): void {
		this.#isLoaded = true;
		for (const {kind, endpoint: {id}} of changes) {
			if (kind === 'removed') {
				this.#log.recordRemoval(id);
			} else {
				this.#log.recordChange(id);
			}
		}

		this.#buildIndex();
	}

	#updateListing(listing: EndpointListing, now: number): DirectoryChange | undefined {
		const known = this.#endpoints.get(listing.id);
		if (known && isOlder(listing, known)) {
			return undefined;
		}

		const endpoint: DirectoryEndpoint = {...listing, coldUntil: now + listing.coldMilliseconds, missingSince: undefined};
		this.#endpoints.set(listing.id, endpoint);
		const kind = findChangeKind(known, endpoint);
		return kind && {endpoint, kind};
	}

	/** Removes an endpoint without an entry; during the grace period after an outage it is kept and marked as missing. */
	#handleMissing(endpoint: DirectoryEndpoint, now: number): DirectoryChange[] {
		if (now < this.#graceUntil && !endpoint.isDraining) {
			if (endpoint.missingSince !== undefined) {
				return [];
			}

			const missing = {...endpoint, missingSince: now};
			this.#endpoints.set(endpoint.id, missing);
			return [{endpoint: missing, kind: 'missing'}];
		}

		this.#endpoints.delete(endpoint.id);
		return [{endpoint, kind: 'removed'}];
	}

	#buildIndex(): void {
		this.#byService = new Map();
		for (const endpoint of this.#endpoints.values()) {
			if (endpoint.isDraining) {
				continue;
			}

			const endpoints = this.#byService.get(endpoint.service) ?? [];
			endpoints.push(endpoint);
			this.#byService.set(endpoint.service, endpoints);
		}
	}
}

function convertToListing({coldUntil, missingSince: _, ...listing}: DirectoryEndpoint, now: number): EndpointListing {
	return {...listing, coldMilliseconds: Math.max(0, coldUntil - now)};
}

/** Whether a listing is from an earlier start or heartbeat than the known one; such late writes are ignored. */
function isOlder(listing: EndpointListing, known: EndpointListing): boolean {
	return listing.startedAt < known.startedAt || (listing.startedAt === known.startedAt && listing.sequence < known.sequence);
}

function findChangeKind(known: DirectoryEndpoint | undefined, {startedAt, isDraining, address, service}: DirectoryEndpoint): DirectoryChange['kind'] | undefined {
	if (!known) {
		return 'added';
	}

	if (startedAt !== known.startedAt) {
		return 'restarted';
	}

	if (isDraining && !known.isDraining) {
		return 'draining';
	}

	if (known.missingSince !== undefined) {
		return 'returned';
	}

	return address !== known.address || service !== known.service ? 'changed' : undefined;
}
