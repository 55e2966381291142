import {Quarantine, type Allocator, type CrashRecord} from '@tanagerrail/routing';
import type {Clock} from '@tanagerrail/telemetry';
import type {HelloMessage} from './slot-messages.js';

/** Crash counts and draining endpoints reported by allocators, cached so that they can be passed to the next allocator. */
export class NoticeCache {
	readonly #clock: Clock;
	readonly #quarantines = new Map<string, Quarantine>();
	readonly #drains = new Map<string, Set<string>>();

	constructor({clock}: {clock: Clock}) {
		this.#clock = clock;
	}

	/**
	 * Records crashes that an allocator counted.
	 *
	 * @param service - Name of the service.
	 * @param records - Crashes by fingerprint.
	 * @returns The records that raised a count.
	 */
	recordCrashes(service: string, records: readonly CrashRecord[]): readonly CrashRecord[] {
		const quarantine = this.#quarantines.get(service) ?? new Quarantine({clock: this.#clock});
		this.#quarantines.set(service, quarantine);
		return records.filter(record => quarantine.merge(record));
	}

	/**
	 * Records that an endpoint announced that it is draining.
	 *
	 * @param service - Name of the service.
	 * @param endpointId - Id of the endpoint.
	 */
	recordDrain(service: string, endpointId: string): void {
		this.#drains.set(service, (this.#drains.get(service) ?? new Set()).add(endpointId));
	}

	/**
	 * Passes the cached crashes and draining endpoints of a service to a new allocator on this host.
	 *
	 * @param service - Name of the service.
	 * @param allocator - The allocator.
	 */
	apply(service: string, allocator: Allocator): void {
		for (const {fingerprint, crashes} of this.#quarantines.get(service)?.list() ?? []) {
			allocator.quarantine.record(fingerprint, crashes);
		}

		for (const endpointId of this.#drains.get(service) ?? []) {
			allocator.drainEndpoint(endpointId, 'another host received a draining notice');
		}
	}

	/**
	 * Checks whether a request has crashed an endpoint. Such a request must not use a leased slot, because only the allocator
	 * decides about its quarantine.
	 *
	 * @param service - Name of the service.
	 * @param fingerprint - Fingerprint of the request.
	 * @returns Whether a crash is recorded.
	 */
	hasCrashed(service: string, fingerprint: string): boolean {
		return (this.#quarantines.get(service)?.countCrashes(fingerprint) ?? 0) > 0;
	}

	/**
	 * Checks whether an endpoint announced that it is draining.
	 *
	 * @param service - Name of the service.
	 * @param endpointId - Id of the endpoint.
	 * @returns Whether a draining notice is recorded.
	 */
	isDraining(service: string, endpointId: string): boolean {
		return this.#drains.get(service)?.has(endpointId) ?? false;
	}

	/**
	 * Removes the draining notices of endpoints that are no longer listed.
	 *
	 * @param isListed - Returns whether an endpoint is still in the host list.
	 */
	removeUnlisted(isListed: (endpointId: string) => boolean): void {
		for (const endpoints of this.#drains.values()) {
			for (const endpointId of endpoints) {
				if (!isListed(endpointId)) {
					endpoints.delete(endpointId);
				}
			}
		}
	}

	/**
	 * Lists all cached crashes and draining endpoints.
	 *
	 * @returns The corresponding fields of a hello message.
	 */
	list(): Pick<HelloMessage, 'crashes' | 'drains'> {
		return {
			crashes: [...this.#quarantines].flatMap(([service, quarantine]) => quarantine.list().map(record => ({...record, service}))),
			drains: [...this.#drains].flatMap(([service, endpoints]) => [...endpoints].map(endpointId => ({service, endpointId}))),
		};
	}
}
