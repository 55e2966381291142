import type {ResultCodeId} from '@tanagerrail/results';
import type {CrashRecord, SlotRelease, SlotRequest} from '@tanagerrail/routing';

/** A slot in use that was leased to the host or granted by the previous allocator; the receiving allocator adopts it. */
export type HeldSlot = {
	readonly grantId: string;
	readonly endpointId: string;
	readonly request: SlotRequest;
};

/** First message of a host on a link, with the state that the allocator takes over from its predecessor. */
export type HelloMessage = {
	readonly type: 'hello';
	readonly hostId: string;
	/** Id of this run of the host's process. */
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly held: readonly HeldSlot[];
	readonly crashes: ReadonlyArray<CrashRecord & {readonly service: string}>;
	readonly drains: ReadonlyArray<{readonly service: string; readonly endpointId: string}>;
};

/** Requests that crashed endpoints of a service. */
export type CrashesMessage = {readonly type: 'crashes'; readonly service: string; readonly records: readonly CrashRecord[]};

/**
 * Messages from a host to an allocator. `acquire` requests a slot and `cancel` withdraws the request; `release` ends the use of
 * a slot; `adopt` reports a {@link HeldSlot}; `return` returns an unused leased slot; `moved` states that the host uses another
 * allocator for the service; `crashes` passes on crashes that another allocator counted; `beat` is a heartbeat.
 */
export type HostMessage =
	| HelloMessage
	| {readonly type: 'acquire'; readonly id: number; readonly request: SlotRequest}
	| {readonly type: 'cancel'; readonly id: number}
	| {readonly type: 'release'; readonly grantId: string; readonly service: string; readonly release: SlotRelease}
	| {readonly type: 'adopt'; readonly held: HeldSlot}
	| {readonly type: 'return'; readonly grantId: string; readonly service: string}
	| {readonly type: 'moved'; readonly service: string}
	| CrashesMessage
	| {readonly type: 'beat'; readonly sequence: number};

/**
 * Messages from an allocator to a host. `grant` and `refuse` respond to `acquire`; `lease` leaves a released slot with the host
 * for its next request; `recall` requests the return of all leased slots of a service; `crashes` and `drain` report requests
 * that crashed endpoints and endpoints that are draining; `goodbye` states that the host no longer grants slots; `beat` is a
 * heartbeat.
 */
export type AllocatorMessage =
	| {readonly type: 'grant'; readonly id: number; readonly grantId: string; readonly endpointId: string; readonly address: string}
	| {readonly type: 'refuse'; readonly id: number; readonly code: ResultCodeId; readonly parameters: Readonly<Record<string, string | number>>}
	| {readonly type: 'lease'; readonly service: string; readonly grantId: string; readonly endpointId: string; readonly address: string}
	| {readonly type: 'recall'; readonly service: string}
	| CrashesMessage
	| {readonly type: 'drain'; readonly service: string; readonly endpointId: string}
	| {readonly type: 'goodbye'}
	| {readonly type: 'beat'; readonly sequence: number};

/** All messages of one event-loop turn, with the highest configuration revision known to the sender. */
export type Frame<T> = {
	readonly revision: number;
	readonly messages: readonly T[];
};
