import type {IncomingHttpHeaders} from 'node:http';

/** Headers with lower-case names. */
export type HeaderFields = Record<string, string | string[]>;

/** Headers of one connection only (RFC 9110, section 7.6.1); they are not passed on. */
const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Headers that tanagerrail sets itself. */
const ownHeaders = new Set(['forwarded', 'request-timeout', 'expect', 'content-length', 'tanagerrail-outcome']);

/**
 * Strips the headers that belong to one connection only.
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

/** What {@link buildEndpointHeaders} needs to know about the caller's request. */
export type ForwardedRequest = {
	readonly headers: IncomingHttpHeaders;
	readonly callerAddress: string;
	readonly hostId: string;
	readonly bodyLength: number;
};

/**
 * Builds the headers of a request to an endpoint, except the remaining time.
 *
 * @param request - The caller's request.
 * @returns Headers with `Forwarded` (RFC 7239) set anew.
 */
export function buildEndpointHeaders({headers, callerAddress, hostId, bodyLength}: ForwardedRequest): HeaderFields {
	const passed = Object.entries(stripHopByHop(headers)).filter(([name]) => !ownHeaders.has(name));
	const address = callerAddress.includes(':') ? `"[${callerAddress}]"` : callerAddress;
	const result: HeaderFields = Object.fromEntries(passed);
	result.forwarded = `for=${address};by=_${hostId.replaceAll(/[^\w.\-]/gv, '')}`;
	if (bodyLength > 0) {
		result['content-length'] = String(bodyLength);
	}

	return result;
}
