import type {ServerResponse} from 'node:http';
import {err, type Result} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';
import {AttemptOutcome} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import {hashRequest, type CallerRequest} from './caller-request.js';
import type {RequestContext} from './request-context.js';
import {firstServerError, sendGranted} from './send-granted.js';
import {streamResponse} from './stream-response.js';

const logger = createLogger('http');

/**
 * Serves an idempotent request: attempts go to other endpoints while the deadline and the retry budget allow it.
 *
 * @param request - The caller's request.
 * @param res - Response to the caller.
 * @param context - The host's request path.
 * @returns The status sent, or the failure to answer with; nothing has been sent in that case, unless the caller's
 * connection was broken.
 */
export async function serveIdempotent(request: CallerRequest, res: ServerResponse, context: RequestContext): Promise<Result<number, Failure>> {
	const {clock, slots} = context;
	const {service, workClass} = request.match;
	const budget = context.getRetryBudget(service.name);
	const fingerprint = hashRequest(request);
	const excluded: string[] = [];
	budget.add();
	for (;;) {
		const slot = await slots.acquire({
			service: service.name,
			workClass: workClass.name,
			kind: workClass.kind,
			remainingMilliseconds: request.deadline - clock(),
			fingerprint,
			excluded,
			isImmediate: false,
		}, request.signal);
		if (slot.isErr()) {
			return err(slot.error);
		}

		const grant = slot.value;
		if (!grant.isUsable()) {
			grant.release({outcome: AttemptOutcome.unused, milliseconds: 0, isDraining: false});
			continue;
		}

		const attempt = await sendGranted(request, grant, context);
		const isRetryable = attempt.isErr() ? attempt.error.outcome !== AttemptOutcome.cancelled : attempt.value.status >= firstServerError;
		if (isRetryable && clock() < request.deadline - workClass.usualMilliseconds && budget.take()) {
			if (attempt.isOk()) {
				attempt.value.body.resume();
			}

			excluded.push(grant.endpointId);
			logger.log(LogLevel.debug, 'endpoint-retried', {request: request.id, endpoint: grant.endpointId});
			continue;
		}

		if (attempt.isErr()) {
			return err(attempt.error.failure);
		}

		const sent = await streamResponse(attempt.value, res, grant.endpointId);
		return sent.map(() => attempt.value.status);
	}
}
