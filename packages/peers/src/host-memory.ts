import {Quarantine, type Allocator, type CrashRecord} from '@tanagerrail/routing';
import type {Clock} from '@tanagerrail/telemetry';
import type {HelloMessage} from './slot-messages.js';

/** What a host has heard from allocators and tells the next one: crashes and draining endpoints. */
export class HostMemory {
	readonly #clock: Clock;
	readonly #crashes = new Map<string, Quarantine>();
	readonly #drains = new Map<string, Set<string>>();

	constructor({clock}: {clock: Clock}) {
		this.#clock = clock;
	}

	/**
	 * Records crashes that an allocator counted.
	 *
	 * @param service - Name of the service.
	 * @param records - Crashes by fingerprint.
	 */
	recordCrashes(service: string, records: readonly CrashRecord[]): void {
		const quarantine = this.#crashes.get(service) ?? new Quarantine({clock: this.#clock});
		this.#crashes.set(service, quarantine);
		for (const {fingerprint, crashes} of records) {
			quarantine.record(fingerprint, crashes);
		}
	}

	/**
	 * Records that an endpoint announced that it is leaving.
	 *
	 * @param service - Name of the service.
	 * @param endpointId - Id of the endpoint.
	 */
	recordDrain(service: string, endpointId: string): void {
		this.#drains.set(service, (this.#drains.get(service) ?? new Set()).add(endpointId));
	}

	/**
	 * Tells a new allocator on this host what is remembered about its service.
	 *
	 * @param service - Name of the service.
	 * @param allocator - The allocator.
	 */
	announce(service: string, allocator: Allocator): void {
		for (const {fingerprint, crashes} of this.#crashes.get(service)?.list() ?? []) {
			allocator.quarantine.record(fingerprint, crashes);
		}

		for (const endpointId of this.#drains.get(service) ?? []) {
			allocator.drainEndpoint(endpointId, 'another host saw a draining notice');
		}
	}

	/**
	 * Tells whether a request has crashed an endpoint, so that only the allocator may decide about it.
	 *
	 * @param service - Name of the service.
	 * @param fingerprint - Fingerprint of the request.
	 * @returns Whether a crash is remembered.
	 */
	hasCrashed(service: string, fingerprint: string): boolean {
		return (this.#crashes.get(service)?.countCrashes(fingerprint) ?? 0) > 0;
	}

	/**
	 * Tells whether an endpoint announced that it is leaving.
	 *
	 * @param service - Name of the service.
	 * @param endpointId - Id of the endpoint.
	 * @returns Whether a notice is remembered.
	 */
	isDraining(service: string, endpointId: string): boolean {
		return this.#drains.get(service)?.has(endpointId) ?? false;
	}

	/**
	 * Forgets the draining notices of endpoints that are no longer listed.
	 *
	 * @param isListed - Whether an endpoint is still in the host list.
	 */
	expire(isListed: (endpointId: string) => boolean): void {
		for (const endpoints of this.#drains.values()) {
			for (const endpointId of endpoints) {
				if (!isListed(endpointId)) {
					endpoints.delete(endpointId);
				}
			}
		}
	}

	/**
	 * Lists everything remembered.
	 *
	 * @returns The lists of a first message.
	 */
	list(): Pick<HelloMessage, 'crashes' | 'drains'> {
		return {
			crashes: [...this.#crashes].flatMap(([service, quarantine]) => quarantine.list().map(record => ({...record, service}))),
			drains: [...this.#drains].flatMap(([service, endpoints]) => [...endpoints].map(endpointId => ({service, endpointId}))),
		};
	}
}
