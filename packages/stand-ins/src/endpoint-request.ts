import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders, IncomingMessage, ServerResponse} from 'node:http';
import {readWallClock, RequestEnd, type EndpointRequestRecord} from './endpoint-request-log.js';

/** Request header with the processing time in milliseconds. */
export const durationHeader = 'stand-in-milliseconds';

/** Request header with the length of the response body in bytes. */
export const lengthHeader = 'stand-in-bytes';

/** Request header with the time over which the response body is spread, in milliseconds. */
export const bodyDurationHeader = 'stand-in-body-milliseconds';

/** Request header with an id that the caller assigns to each attempt to send a request. */
export const requestIdHeader = 'stand-in-request';

/** A request that an endpoint has received in full. */
export type EndpointRequest = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly record: EndpointRequestRecord;
	readonly body: Uint8Array;
};

/** Reasons to stop processing a request. */
export const StopReason = {cancelled: 'cancelled', expired: 'expired'} as const;

/**
 * Reads a request and its body.
 *
 * @param req - The request.
 * @param res - Its response.
 * @returns The request with its body and its log record.
 */
export async function receiveRequest(req: IncomingMessage, res: ServerResponse): Promise<EndpointRequest> {
	const receivedAt = readWallClock();
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	const body = Buffer.concat(chunks);
	const timeout = req.headers['request-timeout'];
	const record: EndpointRequestRecord = {
		method: req.method ?? '',
		target: req.url ?? '',
		key: readHeader(req.headers, 'idempotency-key'),
		requestId: readHeader(req.headers, requestIdHeader),
		bodyHash: createHash('sha256').update(body).digest('hex'),
		timeout: timeout === undefined ? undefined : Number(timeout),
		receivedAt,
	};
	return {
		req, res, record, body,
	};
}

/**
 * Creates the record of a request that arrived on a silenced connection; its body is not read.
 *
 * @param req - The request.
 * @returns A record whose end is {@link RequestEnd.unheard}.
 */
export function describeUnreadRequest({method, url, headers}: IncomingMessage): EndpointRequestRecord {
	return {
		method: method ?? '',
		target: url ?? '',
		key: readHeader(headers, 'idempotency-key'),
		requestId: readHeader(headers, requestIdHeader),
		bodyHash: '',
		timeout: undefined,
		receivedAt: readWallClock(),
		end: RequestEnd.unheard,
	};
}

/**
 * Creates the signal that stops the processing of a request.
 *
 * @param request - The request.
 * @param options - Which reasons stop the processing.
 * @returns A signal whose reason is a member of {@link StopReason}.
 */
export function createStopSignal({res, record}: EndpointRequest, {keepsDeadlines, stopsCancelled}: {keepsDeadlines: boolean; stopsCancelled: boolean}): AbortSignal {
	const controller = new AbortController();
	const timer = keepsDeadlines && record.timeout !== undefined
		? setTimeout(() => {
			controller.abort(StopReason.expired);
		}, record.timeout)
		: undefined;
	res.once('close', () => {
		clearTimeout(timer);
		if (!res.writableFinished && stopsCancelled) {
			controller.abort(StopReason.cancelled);
		}
	});
	return controller.signal;
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' ? value : undefined;
}
