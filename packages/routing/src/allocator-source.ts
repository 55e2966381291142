import {err, ok, ResultAsync} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';
import type {AllocationTicket} from './allocation.js';
import type {Allocator} from './allocator.js';
import type {SlotGrant, SlotRequest, SlotSource} from './slot-source.js';

/** Options of {@link createAllocatorSource}. */
export type AllocatorSourceOptions = {
	readonly allocator: Allocator;
	readonly hostId: string;
	readonly failureDomain: string;
	/** Whether grants are still valid; after a pause of the process they are not. */
	readonly isValid: () => boolean;
};

/**
 * Creates a slot source for an allocator in this process.
 *
 * @param options - The allocator and the host that makes the requests.
 * @returns The source.
 */
export function createAllocatorSource({allocator, hostId, failureDomain, isValid}: AllocatorSourceOptions): SlotSource {
	return {
		acquire(request: SlotRequest, signal?: AbortSignal) {
			return new ResultAsync<SlotGrant, Failure>(new Promise(resolve => {
				const ticket: AllocationTicket = allocator.acquire({
					hostId,
					failureDomain,
					request,
					onSettled(result) {
						signal?.removeEventListener('abort', cancel);
						resolve(result.isErr()
							? err(result.error)
							: ok({
								...result.value,
								isUsable: isValid,
								release(release) {
									allocator.release(result.value.grantId, release);
								},
							}));
					},
				});
				function cancel(): void {
					allocator.cancel(ticket);
				}

				signal?.addEventListener('abort', cancel, {once: true});
			}));
		},
	};
}
