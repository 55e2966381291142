import type {ServerResponse} from 'node:http';
import {err, type Result} from 'neverthrow';
import type {Failure} from '@tanagerrail/results';
import type {CallerRequest} from './caller-request.js';
import {ResponseOpener} from './open-response.js';
import type {RequestContext} from './request-context.js';
import {createResumption} from './resume-response.js';
import {streamResponse} from './stream-response.js';

/**
 * Serves an idempotent request.
 *
 * @param request - The caller's request.
 * @param res - Response to the caller.
 * @param context - Dependencies of request handling.
 * @returns The status sent, or the failure to respond with; in that case nothing has been sent, unless the caller's
 * connection was closed.
 */
export async function serveIdempotent(request: CallerRequest, res: ServerResponse, context: RequestContext): Promise<Result<number, Failure>> {
	const {match} = request;
	context.getRetryBudget(match.service.name).add();
	context.getHedgePolicy?.(match).add();
	const opened = await new ResponseOpener({request, context}).open();
	if (opened.isErr()) {
		return err(opened.error);
	}

	const sent = await streamResponse(opened.value, res, createResumption(request, opened.value, context));
	return sent.map(() => opened.value.response.status);
}
