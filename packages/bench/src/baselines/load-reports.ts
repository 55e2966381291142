import {subscribe} from 'node:diagnostics_channel';

/** Message of the diagnostics channel `undici:request:headers`. */
type HeadersMessage = {
	readonly request: {readonly origin: string};
	readonly response: {readonly headers: readonly Uint8Array[]};
};

/**
 * Collects the load that endpoints report in response headers, which it reads from undici's diagnostics channel.
 *
 * @returns Latest reported number of requests in flight in each endpoint, keyed by `ip:port`; updated with each response.
 */
export function collectLoadReports(): ReadonlyMap<string, number> {
	const reports = new Map<string, number>();
	subscribe('undici:request:headers', message => {
		const {request, response} = message as HeadersMessage;
		const text = findHeader(response.headers, 'endpoint-load-metrics');
		const inFlight = /in_flight=(?<count>\d+)/v.exec(text ?? '')?.groups?.count;
		if (inFlight !== undefined) {
			reports.set(request.origin.slice('http://'.length), Number(inFlight));
		}
	});
	return reports;
}

function findHeader(headers: readonly Uint8Array[], name: string): string | undefined {
	for (let i = 0; i < headers.length; i += 2) {
		if (String(headers[i]).toLowerCase() === name) {
			return String(headers[i + 1]);
		}
	}

	return undefined;
}
