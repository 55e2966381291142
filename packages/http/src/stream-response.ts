import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {createFailure, type Failure} from '@tanagerrail/results';
import {err, ok, type Result} from 'neverthrow';
import type {EndpointResponse} from './endpoint-attempt.js';
import {stripHopByHop} from './forwarded-headers.js';

const statusesWithoutBody = new Set([204, 304]);

/**
 * Tells whether a response has no body, whatever length it declares (RFC 9110, section 6.4.1).
 *
 * @param status - Status of the response.
 * @param method - Method of the request.
 * @returns Whether no body follows the headers.
 */
export function hasNoBody(status: number, method: string): boolean {
	return method === 'HEAD' || statusesWithoutBody.has(status);
}

/**
 * Tells whether the end of a response can be recognised; without a length or chunks a cut response looks complete.
 *
 * @param response - The response.
 * @param method - Method of the request.
 * @returns Whether a complete body can be told from a cut one.
 */
export function hasRecognisableEnd(response: EndpointResponse, method: string): boolean {
	return hasNoBody(response.status, method)
		|| response.contentLength !== undefined || response.headers['transfer-encoding'] !== undefined;
}

/**
 * Streams the body of a response to the caller. When the body turns out to be incomplete, the caller's connection is
 * broken, so that a cut response never looks complete.
 *
 * @param response - Response of the endpoint.
 * @param res - Response to the caller.
 * @param endpointId - For the failure.
 * @returns Nothing, or `answer-incomplete` or `request-aborted`.
 */
export async function streamResponse(response: EndpointResponse, res: ServerResponse, endpointId: string): Promise<Result<void, Failure>> {
	res.writeHead(response.status, stripHopByHop(response.headers));
	let received = 0;
	try {
		for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
			received += chunk.length;
			if (res.destroyed) {
				response.body.destroy();
				return err(createFailure('request-aborted'));
			}

			if (!res.write(chunk)) {
				await waitDrain(res);
			}
		}
	} catch {
		res.destroy();
		return err(createFailure(res.closed ? 'request-aborted' : 'answer-incomplete', {endpoint: endpointId}));
	}

	if (response.contentLength !== undefined && received !== response.contentLength && res.req.method !== 'HEAD') {
		res.destroy();
		return err(createFailure('answer-incomplete', {endpoint: endpointId}));
	}

	res.end();
	return ok(undefined);
}

/** Waits until more can be written or the caller is gone; leaves no listener behind, because a long body waits often. */
async function waitDrain(res: ServerResponse): Promise<void> {
	const controller = new AbortController();
	const {signal} = controller;
	try {
		await Promise.race([once(res, 'drain', {signal}), once(res, 'close', {signal})]);
	} finally {
		controller.abort();
	}
}
