import type {Result} from 'neverthrow';
import type {ServiceConfiguration, WorkClass} from '@tanagerrail/configuration';
import type {Failure} from '@tanagerrail/results';
import type {EndpointState} from './endpoint.js';
import type {SlotRequest} from './slot-source.js';

/** A slot that the allocator gave to a host. */
export type AllocatedSlot = {
	readonly grantId: string;
	readonly endpointId: string;
	readonly address: string;
};

/** The host that asks for a slot, and its request. */
export type SlotUse = {
	readonly hostId: string;
	readonly failureDomain: string;
	readonly request: SlotRequest;
};

/** A slot that a host uses without having asked this allocator for it. */
export type HeldSlotUse = SlotUse & {readonly endpointId: string};

/** A request for a slot by one host. */
export type AllocationRequest = SlotUse & {
	/** Called once, at once or later. */
	readonly onSettled: (result: Result<AllocatedSlot, Failure>) => void;
};

/** A waiting request; it can be cancelled. */
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
 * @param service - Configuration of the service; an unknown work class counts as the first one.
 * @param now - Monotonic time in milliseconds.
 * @returns The ticket.
 */
export function createTicket(request: AllocationRequest, {workClasses}: ServiceConfiguration, now: number): AllocationTicket {
	const workClass = workClasses.find(({name}) => name === request.request.workClass) ?? workClasses[0]!;
	return {...request, workClass, deadline: now + request.request.remainingMilliseconds};
}
