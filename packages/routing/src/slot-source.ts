import type {ResultAsync} from 'neverthrow';
import type {WorkKind} from '@tanagerrail/configuration';
import type {Failure} from '@tanagerrail/results';
import type {AttemptOutcome} from './attempt-outcome.js';

/** A request of an entry host for a slot of a service. */
export type SlotRequest = {
	readonly service: string;
	readonly workClass: string;
	/** Kind of the work class; only short work may use leased slots, because the allocator enforces the limit of long work. */
	readonly kind: WorkKind;
	/** Time left until the deadline, in milliseconds. */
	readonly remainingMilliseconds: number;
	/** Hash of service, method, target and body. */
	readonly fingerprint: string;
	/** Ids of endpoints that must not be chosen, for a retry or a hedge. */
	readonly excluded: readonly string[];
	/** Whether the request is refused instead of queued when no slot is free; used by hedges. */
	readonly isImmediate: boolean;
};

/** Report of a host when it releases a slot. */
export type SlotRelease = {
	readonly outcome: AttemptOutcome;
	/** Time from dispatch to the end of the response, in milliseconds. */
	readonly milliseconds: number;
	/** Whether the endpoint announced that it is draining. */
	readonly isDraining: boolean;
	/** Fingerprint of a request that crashed the endpoint, so that an allocator without the grant can count the crash. */
	readonly crashed?: string;
};

/** Permission to use one slot of one endpoint for one request. */
export type SlotGrant = {
	readonly endpointId: string;
	/** `ip:port` of the endpoint. */
	readonly address: string;
	/** Whether the grant may still be used; false after a pause of the process or the loss of the allocator. */
	isUsable(): boolean;
	/** Releases the slot; only the first call has an effect. */
	release(release: SlotRelease): void;
};

/** Source of slots: an allocator in this process or on a peer. */
export type SlotSource = {
	/**
	 * Waits for a slot.
	 *
	 * @param request - The request for the slot.
	 * @param signal - Cancels the wait when the caller disconnects.
	 * @returns The grant, or `queue-full`, `deadline-exceeded`, `quarantined`, `no-endpoint`, `no-free-slot`,
	 * `slot-cancelled` or `allocator-lost`.
	 */
	acquire(request: SlotRequest, signal?: AbortSignal): ResultAsync<SlotGrant, Failure>;
};
