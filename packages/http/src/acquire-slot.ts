import {err, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import {AttemptOutcome, type SlotGrant} from '@tanagerrail/routing';
import type {CallerRequest} from './caller-request.js';
import type {RequestContext} from './request-context.js';

/** Options of {@link acquireSlot}. */
export type AcquireOptions = {
	/** Endpoints that must not be chosen. */
	readonly excluded: readonly string[];
	/** Whether to fail instead of waiting if no slot is free; false by default. */
	readonly isImmediate?: boolean;
	/** Cancels the wait; by default, the signal of the request. */
	readonly signal?: AbortSignal;
};

/**
 * Waits for a slot for a request and adds the wait to the request's record.
 *
 * @param request - The caller's request.
 * @param context - Dependencies of request handling.
 * @param options - Which endpoints to exclude and whether to wait.
 * @returns A grant that is still usable, or the refusal.
 */
export async function acquireSlot(request: CallerRequest, {clock, slots}: RequestContext, options: AcquireOptions): Promise<Result<SlotGrant, Failure>> {
	const {match: {service, workClass}, deadline, fingerprint, wait} = request;
	const {excluded, isImmediate = false, signal = request.signal} = options;
	const startedAt = clock();
	for (;;) {
		const remainingMilliseconds = deadline - clock();
		if (remainingMilliseconds <= 0) {
			return err(createFailure('deadline-exceeded'));
		}

		const slot = await slots.acquire({
			service: service.name,
			workClass: workClass.name,
			kind: workClass.kind,
			remainingMilliseconds,
			fingerprint,
			excluded: [...excluded],
			isImmediate,
		}, signal);
		if (slot.isErr() || slot.value.isUsable()) {
			wait.milliseconds += clock() - startedAt;
			return slot;
		}

		// The grant became unusable because the process was paused or lost its allocator.
		slot.value.release({outcome: AttemptOutcome.unused, milliseconds: 0, isDraining: false});
	}
}
