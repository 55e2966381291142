import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';
import type {CallerRequest} from './caller-request.js';
import type {EndpointResponse} from './endpoint-attempt.js';
import {ResponseOpener, type OpenedResponse} from './open-response.js';
import type {RequestContext} from './request-context.js';

/** Opens the rest of a response whose body broke off, beginning at a byte offset. */
export type Resumption = (offset: number) => Promise<Result<OpenedResponse, Failure>>;

/**
 * Creates the resumption of a download, if its bytes can be told to be the same on another endpoint.
 *
 * @param request - The caller's request.
 * @param opened - The response whose body may break off.
 * @param context - The host's request path.
 * @returns A function that asks for the rest with `Range` and `If-Range` (RFC 9110, section 14), or nothing when the
 * response has no strong `ETag` or no length.
 */
export function createResumption(request: CallerRequest, {response, endpointId}: OpenedResponse, context: RequestContext): Resumption | undefined {
	const {etag} = response.headers;
	const total = response.contentLength;
	const isWhole = request.method === 'GET' && response.status === 200 && request.headers.range === undefined;
	if (!isWhole || etag === undefined || etag.startsWith('W/') || total === undefined) {
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

		if (!isRest(opened.value.response, {etag, offset, total})) {
			opened.value.response.body.destroy();
			return err(incomplete);
		}

		excluded.add(opened.value.endpointId);
		return ok(opened.value);
	};
}

function isRest({status, headers}: EndpointResponse, {etag, offset, total}: {etag: string; offset: number; total: number}): boolean {
	return status === 206 && headers.etag === etag && headers['content-range'] === `bytes ${offset}-${total - 1}/${total}`;
}
