/** Where a request goes, as its request line and `Host` header say. */
export type RequestTarget = {
	/** Host name, with the port if one was sent. */
	readonly host: string;
	/** Path and query. */
	readonly target: string;
};

const absoluteFormPattern = /^https?:\/\/(?<authority>[^\/?#]+)(?<target>[^#]*)$/iv;

/**
 * Parses the target of a request in origin form or in absolute form (RFC 9112, section 3.2).
 *
 * @param url - Target of the request line.
 * @param host - Value of the `Host` header; an absolute form takes precedence over it.
 * @returns Host, and path with query.
 */
export function parseTarget(url = '/', host = ''): RequestTarget {
	const {authority, target} = absoluteFormPattern.exec(url)?.groups ?? {};
	if (authority === undefined || target === undefined) {
		return {host, target: url};
	}

	return {host: authority, target: target.startsWith('/') ? target : `/${target}`};
}
