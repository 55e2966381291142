import {err, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import {AttemptOutcome, type SlotGrant} from '@tanagerrail/routing';
import type {CallerRequest} from './caller-request.js';
import type {RequestContext} from './request-context.js';

/** Options of {@link acquireSlot}. */
export type AcquireOptions = {
	/** Endpoints that must not be chosen. */
	readonly excluded: readonly string[];
	/** Refuse rather than wait; false by default. */
	readonly isImmediate?: boolean;
	/** Ends the wait; by default, when the caller is gone. */
	readonly signal?: AbortSignal;
};

/**
 * Waits for a slot for a request and counts the wait.
 *
 * @param request - The caller's request.
 * @param context - The host's request path.
 * @param options - Which slots will do.
 * @returns A grant that can be used now, or the refusal.
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

		// The process was paused or lost its allocator after the grant.
		slot.value.release({outcome: AttemptOutcome.unused, milliseconds: 0, isDraining: false});
	}
}
