import {err, ok, type Result} from 'neverthrow';
import {createFailure} from '@tanagerrail/results';
import {AttemptOutcome, type SlotGrant} from '@tanagerrail/routing';
import type {CallerRequest} from './caller-request.js';
import {sendAttempt, type AttemptFailure, type EndpointResponse} from './endpoint-attempt.js';
import {buildEndpointHeaders, type HeaderFields} from './forwarded-headers.js';
import type {RequestContext} from './request-context.js';
import {hasDetectableEnd} from './stream-response.js';

/** Lowest status that counts as a failure of the endpoint. */
export const firstServerError = 500;

/** Options of {@link sendWithGrant}. */
export type SendOptions = {
	/** Longest idle time of a pooled connection that may be used, in milliseconds. */
	readonly maximumIdleMilliseconds: number;
	/** Cancels the attempt. */
	readonly signal: AbortSignal;
	/** Headers that replace those of the caller's request. */
	readonly headers: HeaderFields;
};

/**
 * Sends a request to the endpoint of a slot grant. The slot is released when the response has ended or the attempt has
 * failed.
 *
 * @param request - The caller's request.
 * @param grant - The granted slot.
 * @param context - Dependencies of request handling.
 * @param options - How to send it; by default over any connection and until the request's signal aborts.
 * @returns The head of the response and its unread body, or how the attempt failed.
 */
export async function sendWithGrant(request: CallerRequest, grant: SlotGrant, context: RequestContext, options: Partial<SendOptions> = {}): Promise<Result<EndpointResponse, AttemptFailure>> {
	const {clock, connections, hostId} = context;
	const {maximumIdleMilliseconds = Infinity, signal = request.signal, headers = {}} = options;
	const startedAt = clock();
	const controller = new AbortController();
	const cancel = () => {
		controller.abort(AttemptOutcome.cancelled);
	};

	const timer = setTimeout(() => {
		controller.abort(AttemptOutcome.timeout);
	}, Math.max(1, request.deadline - startedAt));
	signal.addEventListener('abort', cancel, {once: true});
	if (signal.aborted) {
		cancel();
	}

	const release = (outcome: AttemptOutcome, isDraining = false) => {
		clearTimeout(timer);
		signal.removeEventListener('abort', cancel);
		grant.release({outcome, milliseconds: clock() - startedAt, isDraining});
	};

	const attempt = await sendAttempt({
		pool: connections.get(grant.address),
		endpointId: grant.endpointId,
		request: {
			method: request.method,
			target: request.target,
			headers: {
				...buildEndpointHeaders({
					headers: request.headers, callerAddress: request.callerAddress, hostId, bodyLength: request.body?.length ?? 0,
				}),
				...headers,
			},
			body: request.body,
		},
		remainingMilliseconds: request.deadline - startedAt,
		maximumIdleMilliseconds,
		signal: controller.signal,
	});
	if (attempt.isErr()) {
		release(attempt.error.outcome);
		return attempt;
	}

	const response = attempt.value;
	if (!hasDetectableEnd(response, request.method)) {
		response.body.destroy();
		release(AttemptOutcome.failure, response.isDraining);
		return err({outcome: AttemptOutcome.failure, failure: createFailure('answer-incomplete', {endpoint: grant.endpointId})});
	}

	response.body.once('end', () => {
		release(response.status >= firstServerError ? AttemptOutcome.failure : AttemptOutcome.success, response.isDraining);
	});
	response.body.once('error', () => {
		release(controller.signal.aborted ? controller.signal.reason as AttemptOutcome : AttemptOutcome.failure, response.isDraining);
	});
	return ok(response);
}
