import type {Clock} from '@tanagerrail/telemetry';
import {DirectoryChangeLog} from './directory-change-log.js';

/** One endpoint as the registry lists it. */
export type EndpointListing = {
	readonly id: string;
	/** `ip:port` of the endpoint. */
	readonly address: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly slots: number;
	/** Whether the endpoint has announced that it is leaving. */
	readonly isDraining: boolean;
	/** Time of its start, in Unix milliseconds; 0 where the registry does not tell. */
	readonly startedAt: number;
	/** Number of its heartbeat; starts anew with each start. */
	readonly sequence: number;
	/** Time for which it stays slow after its start, in milliseconds. */
	readonly coldMilliseconds: number;
};

/** An endpoint in the directory. */
export type DirectoryEndpoint = EndpointListing & {
	/** Monotonic time until which the endpoint is slow after its start, in milliseconds. */
	readonly coldUntil: number;
	/** Monotonic time since which the registry no longer lists the endpoint; nothing while it does. */
	readonly missingSince: number | undefined;
};

/** A change of what the directory believes about one endpoint. */
export type DirectoryChange = {
	readonly endpoint: DirectoryEndpoint;
	readonly kind: 'added' | 'draining' | 'restarted' | 'removed' | 'missing' | 'returned' | 'changed';
};

/** Changes of a directory that another host is told of. */
export type DirectoryNews = {
	/** Position in the change log of the directory that tells them. */
	readonly cursor: number;
	/** Whether the endpoints are all there are, not only those that have changed. */
	readonly isFull: boolean;
	/** Endpoints that were added or have changed, with the time for which they stay slow from now on. */
	readonly endpoints: readonly EndpointListing[];
	/** Ids of endpoints that are gone. */
	readonly removed: readonly string[];
};

/** Options of {@link EndpointDirectory}. */
export type EndpointDirectoryOptions = {
	readonly clock: Clock;
	/** Time after the return of the registry within which lapsed entries may come back, in milliseconds. */
	readonly lapseMilliseconds: number;
};

/** Defaults of {@link EndpointDirectoryOptions}. */
export const defaultEndpointDirectoryOptions = {lapseMilliseconds: 1500};

/** The endpoints of all services, as far as the registry has told. */
export class EndpointDirectory {
	readonly #options: EndpointDirectoryOptions;
	readonly #endpoints = new Map<string, DirectoryEndpoint>();
	readonly #log = new DirectoryChangeLog();
	#byService = new Map<string, DirectoryEndpoint[]>();
	#lapsesUntil = 0;
	#isKnown = false;

	constructor(options: Partial<EndpointDirectoryOptions> & Pick<EndpointDirectoryOptions, 'clock'>) {
		this.#options = {...defaultEndpointDirectoryOptions, ...options};
	}

	/** Whether a listing has been received. */
	get isKnown(): boolean {
		return this.#isKnown;
	}

	/** Position after the last change of the directory. */
	get cursor(): number {
		return this.#log.cursor;
	}

	/** All endpoints, those that are missing or draining included. */
	get all(): readonly DirectoryEndpoint[] {
		return [...this.#endpoints.values()];
	}

	/**
	 * Returns the endpoints of a service that may take new work.
	 *
	 * @param service - Name of the service.
	 * @returns Endpoints that are neither draining nor gone.
	 */
	list(service: string): readonly DirectoryEndpoint[] {
		return this.#byService.get(service) ?? [];
	}

	/** Notes that the registry has returned after an outage, in which the entries of live endpoints may have lapsed. */
	handleOutageEnd(): void {
		this.#lapsesUntil = this.#options.clock() + this.#options.lapseMilliseconds;
	}

	/**
	 * Takes over a full listing of the registry.
	 *
	 * @param listings - All entries that name an endpoint.
	 * @returns What changed.
	 */
	update(listings: readonly EndpointListing[]): readonly DirectoryChange[] {
		const now = this.#options.clock();
		const changes: DirectoryChange[] = [];
		const seen = new Set<string>();
		for (const listing of listings) {
			seen.add(listing.id);
			const change = this.#updateOne(listing, now);
			if (change) {
				changes.push(change);
			}
		}

		for (const endpoint of this.#endpoints.values()) {
			if (!seen.has(endpoint.id)) {
				changes.push(...this.#handleMissing(endpoint, now));
			}
		}

		this.#finishUpdate(changes);
		return changes;
	}

	/**
	 * Lists what has changed, for another host.
	 *
	 * @param after - Position up to which that host knows this directory; 0 asks for everything.
	 * @returns The changes.
	 */
	listChanges(after: number): DirectoryNews {
		const now = this.#options.clock();
		const {isFull, changed, removed} = this.#log.listChanges(after);
		return {
			cursor: this.#log.cursor, isFull, removed, endpoints: changed.map(id => convertListing(this.#endpoints.get(id)!, now)),
		};
	}

	/**
	 * Takes over what another host tells of the endpoints. It has decided already which lapsed entries stay in use.
	 *
	 * @param news - The changes.
	 * @returns What changed here.
	 */
	adopt({isFull, endpoints, removed}: DirectoryNews): readonly DirectoryChange[] {
		const now = this.#options.clock();
		const changes = endpoints.map(listing => this.#updateOne(listing, now)).filter(change => change !== undefined);
		const told = new Set(endpoints.map(({id}) => id));
		const gone = isFull ? [...this.#endpoints.keys()].filter(id => !told.has(id)) : removed;
		for (const id of gone) {
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
		this.#isKnown = true;
		for (const {kind, endpoint: {id}} of changes) {
			if (kind === 'removed') {
				this.#log.recordRemoval(id);
			} else {
				this.#log.recordChange(id);
			}
		}

		this.#index();
	}

	#updateOne(listing: EndpointListing, now: number): DirectoryChange | undefined {
		const known = this.#endpoints.get(listing.id);
		if (known && isOlder(listing, known)) {
			return undefined;
		}

		const endpoint: DirectoryEndpoint = {...listing, coldUntil: now + listing.coldMilliseconds, missingSince: undefined};
		this.#endpoints.set(listing.id, endpoint);
		const kind = describeChange(known, endpoint);
		return kind && {endpoint, kind};
	}

	/** While entries may have lapsed in an outage, a missing one stays in use until it should have come back. */
	#handleMissing(endpoint: DirectoryEndpoint, now: number): DirectoryChange[] {
		if (now < this.#lapsesUntil && !endpoint.isDraining) {
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

	#index(): void {
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

function convertListing({coldUntil, missingSince: _, ...listing}: DirectoryEndpoint, now: number): EndpointListing {
	return {...listing, coldMilliseconds: Math.max(0, coldUntil - now)};
}

/** A late write of an earlier heartbeat or of an earlier start does not undo what is known. */
function isOlder(listing: EndpointListing, known: EndpointListing): boolean {
	return listing.startedAt < known.startedAt || (listing.startedAt === known.startedAt && listing.sequence < known.sequence);
}

function describeChange(known: DirectoryEndpoint | undefined, {startedAt, isDraining, address, service}: DirectoryEndpoint): DirectoryChange['kind'] | undefined {
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
