import type {ServerResponse} from 'node:http';
import {createFailure, type Failure} from '@tanagerrail/results';
import {err, ok, type Result} from 'neverthrow';
import type {EndpointResponse} from './endpoint-attempt.js';
import type {OpenedResponse} from './open-response.js';
import type {Resumption} from './resume-response.js';
import {stripHopByHop} from './forwarded-headers.js';
import {waitDrain} from './wait-drain.js';

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
 * Tells whether truncation of a response can be detected; without a length or chunked encoding, a truncated response
 * looks complete.
 *
 * @param response - The response.
 * @param method - Method of the request.
 * @returns Whether a complete body can be distinguished from a truncated one.
 */
export function hasDetectableEnd(response: EndpointResponse, method: string): boolean {
	return hasNoBody(response.status, method)
		|| response.contentLength !== undefined || response.headers['transfer-encoding'] !== undefined;
}

/**
 * Streams the body of a response to the caller. If the body is cut off, the resumption provides the rest; without one, the
 * caller's connection is closed, so that a truncated response never looks complete.
 *
 * @param opened - Response of the endpoint.
 * @param res - Response to the caller.
 * @param resume - Opens the rest of a body that was cut off, if possible.
 * @returns Nothing, or `answer-incomplete` or `request-aborted`.
 */
export async function streamResponse(opened: OpenedResponse, res: ServerResponse, resume?: Resumption): Promise<Result<void, Failure>> {
	const {status, headers, contentLength} = opened.response;
	res.writeHead(status, stripHopByHop(headers));
	const expected = hasNoBody(status, res.req.method ?? '') ? 0 : contentLength;
	let current = opened;
	let received = 0;
	for (;;) {
		const sent = await sendBody(current, res);
		received += sent.bytes;
		if (res.destroyed) {
			current.response.body.destroy();
			return err(createFailure('request-aborted'));
		}

		if (sent.isComplete && (expected === undefined || received === expected)) {
			res.end();
			return ok(undefined);
		}

		const resumed = await resume?.(received);
		if (!resumed?.isOk()) {
			res.destroy();
			return err(resumed?.isErr() ? resumed.error : createFailure('answer-incomplete', {endpoint: current.endpointId}));
		}

		current = resumed.value;
	}
}

async function sendBody({response}: OpenedResponse, res: ServerResponse): Promise<{bytes: number; isComplete: boolean}> {
	let bytes = 0;
	try {
		for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
			if (res.destroyed) {
				return {bytes, isComplete: false};
			}

			bytes += chunk.length;
			if (!res.write(chunk)) {
				await waitDrain(res);
			}
		}

		return {bytes, isComplete: true};
	} catch {
		return {bytes, isComplete: false};
	}
}
