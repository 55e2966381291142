import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** A response body with its status and headers. */
export type EndpointContent = {
	readonly status: number;
	readonly headers: OutgoingHttpHeaders;
	readonly body: Uint8Array;
};

/** The properties of a request that determine the content of its response. */
export type ContentRequest = {
	readonly method: string;
	readonly target: string;
	readonly headers: IncomingHttpHeaders;
	/** Hash of method, target and body in hexadecimal. */
	readonly requestHash: string;
	/** Length of the full content in bytes; undefined for a short fixed text. */
	readonly length: number | undefined;
};

const defaultContent = Buffer.from('ok');

/**
 * Builds the response to a request. Content of a given length is the same on every endpoint, has a strong ETag and
 * supports range requests (RFC 9110, sections 13.1.5 and 14).
 *
 * @param request - The request.
 * @returns Status 200, 206 or 416.
 */
export function buildContent({method, headers, requestHash, length}: ContentRequest): EndpointContent {
	const whole = length === undefined ? defaultContent : Buffer.alloc(length, requestHash);
	const etag = `"${createHash('sha256').update(whole).digest('hex').slice(0, 32)}"`;
	const common: OutgoingHttpHeaders = {'request-hash': requestHash, etag, 'accept-ranges': 'bytes'};
	const range = method === 'GET' ? parseRange(headers, etag, whole.length) : undefined;
	if (!range) {
		return {status: 200, headers: {...common, 'content-length': whole.length}, body: whole};
	}

	if (range.first > range.last) {
		return {status: 416, headers: {...common, 'content-range': `bytes */${whole.length}`, 'content-length': 0}, body: new Uint8Array()};
	}

	const body = whole.subarray(range.first, range.last + 1);
	return {
		status: 206,
		headers: {...common, 'content-range': `bytes ${range.first}-${range.last}/${whole.length}`, 'content-length': body.length},
		body,
	};
}

/** Parses a single range; other forms are ignored, as RFC 9110 allows. */
function parseRange(headers: IncomingHttpHeaders, etag: string, length: number): {first: number; last: number} | undefined {
	const match = /^bytes=(?<first>\d+)-(?<last>\d*)$/v.exec(headers.range ?? '');
	const condition = headers['if-range'];
	if (!match?.groups || (condition !== undefined && condition !== etag)) {
		return undefined;
	}

	const {first, last} = match.groups;
	return {first: Number(first), last: last === '' ? length - 1 : Math.min(Number(last), length - 1)};
}
