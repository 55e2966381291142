import type {IncomingHttpHeaders} from 'node:http';

/** Headers with lower-case names. */
export type HeaderFields = Record<string, string | string[]>;

/** Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded. */
const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** End-to-end headers that are not forwarded to endpoints, because tanagerrail sets them itself. */
const overwrittenHeaders = new Set(['forwarded', 'request-timeout', 'expect', 'content-length', 'tanagerrail-outcome']);

/**
 * Strips the hop-by-hop headers, including those that `Connection` names.
 *
 * @param headers - Headers as received.
 * @returns The other headers.
 */
export function stripHopByHop(headers: IncomingHttpHeaders): HeaderFields {
	const named = new Set(String(headers.connection ?? '').split(',').map(name => name.trim().toLowerCase()));
	const result: HeaderFields = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name) && !named.has(name)) {
			result[name] = value;
		}
	}

	return result;
}

/** Input of {@link buildEndpointHeaders}. */
export type ForwardedRequest = {
	readonly headers: IncomingHttpHeaders;
	readonly callerAddress: string;
	readonly hostId: string;
	readonly bodyLength: number;
};

/**
 * Builds the headers of a request to an endpoint, except `Request-Timeout`.
 *
 * @param request - The caller's request.
 * @returns The headers; `Forwarded` (RFC 7239) replaces any that the caller sent.
 */
export function buildEndpointHeaders({headers, callerAddress, hostId, bodyLength}: ForwardedRequest): HeaderFields {
	const passed = Object.entries(stripHopByHop(headers)).filter(([name]) => !overwrittenHeaders.has(name));
	const address = callerAddress.includes(':') ? `"[${callerAddress}]"` : callerAddress;
	const result: HeaderFields = Object.fromEntries(passed);
	result.forwarded = `for=${address};by=_${hostId.replaceAll(/[^\w.\-]/gv, '')}`;
	if (bodyLength > 0) {
		result['content-length'] = String(bodyLength);
	}

	return result;
}
