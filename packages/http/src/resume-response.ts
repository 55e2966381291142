import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {CallerRequest} from './caller-request.js';
import type {EndpointResponse} from './endpoint-attempt.js';
import {ResponseOpener, type OpenedResponse} from './open-response.js';
import type {RequestContext} from './request-context.js';

/** Opens the rest of a response whose body was cut off, from a byte offset. */
export type Resumption = (offset: number) => Promise<Result<OpenedResponse, Failure>>;

/**
 * Creates the resumption of a download, if it can be verified that another endpoint serves the same bytes.
 *
 * @param request - The caller's request.
 * @param opened - The response whose body may be cut off.
 * @param context - Dependencies of request handling.
 * @returns A function that requests the rest with `Range` and `If-Range` (RFC 9110, sections 13 and 14), or nothing if
 * the response is not a full representation or has no strong `ETag` or no length.
 */
export function createResumption(request: CallerRequest, {response, endpointId}: OpenedResponse, context: RequestContext): Resumption | undefined {
	const {etag} = response.headers;
	const total = response.contentLength;
	const isFullResponse = request.method === 'GET' && response.status === 200 && request.headers.range === undefined;
	if (!isFullResponse || etag === undefined || etag.startsWith('W/') || total === undefined) {
		return undefined;
	}

	const excluded = new Set([endpointId]);
	return async offset => {
		const incomplete = createFailure('answer-incomplete', {endpoint: endpointId});
		if (request.signal.aborted || !context.getRetryBudget(request.match.service.name).take()) {
			return err(incomplete);
		}

		const opened = await new ResponseOpener({
			request, context, headers: {range: `bytes=${offset}-`, 'if-range': etag}, excluded: [...excluded],
		}).open();
		if (opened.isErr()) {
			return opened;
		}

		if (!isRequestedRange(opened.value.response, {etag, offset, total})) {
			opened.value.response.body.destroy();
			return err(incomplete);
		}

		excluded.add(opened.value.endpointId);
		return ok(opened.value);
	};
}

function isRequestedRange({status, headers}: EndpointResponse, {etag, offset, total}: {etag: string; offset: number; total: number}): boolean {
	return status === 206 && headers.etag === etag && headers['content-range'] === `bytes ${offset}-${total - 1}/${total}`;
}
