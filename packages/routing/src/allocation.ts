import type {Result} from 'neverthrow';
import type {ServiceConfiguration, WorkClass} from '@tanagerrail/configuration';
import type {Failure} from '@tanagerrail/results';
import type {EndpointState} from './endpoint.js';
import type {SlotRequest} from './slot-source.js';

/** A slot that an allocator granted to a host. */
export type AllocatedSlot = {
	readonly grantId: string;
	readonly endpointId: string;
	readonly address: string;
};

/** A request for a slot and the host that makes it. */
export type HostSlotRequest = {
	readonly hostId: string;
	readonly failureDomain: string;
	readonly request: SlotRequest;
};

/** A slot that a host uses without a new request to this allocator: leased, or granted by another allocator. */
export type AdoptedSlot = HostSlotRequest & {readonly endpointId: string};

/** A request for a slot with the callback for its result. */
export type AllocationRequest = HostSlotRequest & {
	/** Called exactly once, possibly before `acquire` returns. */
	readonly onSettled: (result: Result<AllocatedSlot, Failure>) => void;
};

/** A request for a slot with its resolved work class and deadline; also the handle with which it is cancelled. */
export type AllocationTicket = AllocationRequest & {
	readonly workClass: WorkClass;
	/** Monotonic time by which the response must be complete, in milliseconds. */
	readonly deadline: number;
};

/** State of one endpoint for operators. */
export type EndpointStatus = {
	readonly id: string;
	readonly state: EndpointState;
	readonly reason: string;
	readonly slots: number;
	readonly inUse: number;
	/** Slots that hosts keep for their next request. */
	readonly leased: number;
};

/**
 * Creates the ticket of a request for a slot.
 *
 * @param request - The host and its request.
 * @param service - Configuration of the service; an unknown work class is replaced by the first one.
 * @param now - Monotonic time in milliseconds.
 * @returns The ticket.
 */
export function createTicket(request: AllocationRequest, {workClasses}: ServiceConfiguration, now: number): AllocationTicket {
	const workClass = workClasses.find(({name}) => name === request.request.workClass) ?? workClasses[0]!;
	return {...request, workClass, deadline: now + request.request.remainingMilliseconds};
}
