import type {ResultAsync} from 'neverthrow';
import type {WorkKind} from '@tanagerrail/configuration';
import type {Failure} from '@tanagerrail/results';
import type {AttemptOutcome} from './attempt-outcome.js';

/** What an entry host asks the allocator of a service for. */
export type SlotRequest = {
	readonly service: string;
	readonly workClass: string;
	/** Only short work may use leased slots, because long work is counted against its share first. */
	readonly kind: WorkKind;
	/** Time left until the deadline, in milliseconds. */
	readonly remainingMilliseconds: number;
	/** Hash of service, method, target and body. */
	readonly fingerprint: string;
	/** Endpoints that must not be chosen, for a retry or a hedge. */
	readonly excluded: readonly string[];
	/** Refuse rather than wait when no slot is free at once; hedges use it. */
	readonly isImmediate: boolean;
};

/** What a host reports when it gives a slot back. */
export type SlotRelease = {
	readonly outcome: AttemptOutcome;
	/** Time from dispatch to the end of the response, in milliseconds. */
	readonly milliseconds: number;
	/** Whether the endpoint announced that it is leaving. */
	readonly isDraining: boolean;
	/** Fingerprint of a request that crashed the endpoint; an allocator that has lost the grant counts the crash by it. */
	readonly crashed?: string;
};

/** Permission to use one slot of one endpoint for one request. */
export type SlotGrant = {
	readonly endpointId: string;
	/** `ip:port` of the endpoint. */
	readonly address: string;
	/** Whether the grant may still be used: not after a pause or the loss of the allocator. */
	isUsable(): boolean;
	/** Gives the slot back; only the first call counts. */
	release(release: SlotRelease): void;
};

/** Gives out slots, from an allocator in this process or on a peer. */
export type SlotSource = {
	/**
	 * Waits for a slot.
	 *
	 * @param request - What the slot is for.
	 * @param signal - Ends the wait when the caller is gone.
	 * @returns The grant, or `queue-full`, `deadline-exceeded`, `quarantined`, `no-endpoint`, `no-free-slot`,
	 * `slot-cancelled` or `allocator-lost`.
	 */
	acquire(request: SlotRequest, signal?: AbortSignal): ResultAsync<SlotGrant, Failure>;
};
