import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';

/** Origin-form target (RFC 9112, section 3.2.1); a fragment is never sent. */
const targetPattern = /^\/[!"$-~]*$/v;

/** Path components that other software may interpret differently: dot segments, encoded separators and NUL, stray percent signs. */
const ambiguousPathPattern = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)|%2f|%5c|%00|\\|%(?![\da-f]{2})/iv;

const hostPattern = /^(?:\[[\da-f.:]+\]|[\w\-.~]+)(?::\d{1,5})?$/iv;
const timeoutPattern = /^[1-9]\d{0,8}$/v;

/** Headers that determine how a request is handled and must not be repeated; Node.js keeps the first and drops the others. */
const uniqueHeaders = new Set(['host', 'content-length', 'content-type', 'authorization', 'request-timeout', 'idempotency-key']);

/**
 * Refuses ambiguous requests that the HTTP parser accepts.
 *
 * @param req - A request whose headers have arrived.
 * @returns Nothing, or `request-malformed`.
 */
export function checkHead({url = '', headers, rawHeaders}: Pick<IncomingMessage, 'url' | 'headers' | 'rawHeaders'>): Result<void, Failure> {
	if (!targetPattern.test(url)) {
		return refuseMalformed('the target is not an absolute path');
	}

	const [path = ''] = url.split('?', 1);
	if (ambiguousPathPattern.test(path)) {
		return refuseMalformed('the path has dot segments, encoded separators or malformed percent-encoding');
	}

	const seen = new Set<string>();
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (seen.has(name) && uniqueHeaders.has(name)) {
			return refuseMalformed(`the header ${name} is given twice`);
		}

		seen.add(name);
	}

	if (!hostPattern.test(headers.host ?? '')) {
		return refuseMalformed('the header host is not a host name');
	}

	const timeout = headers['request-timeout'];
	return timeout === undefined || timeoutPattern.test(String(timeout)) ? ok(undefined) : refuseMalformed('the header request-timeout is not a number of milliseconds above 0');
}

function refuseMalformed(reason: string): Result<void, Failure> {
	return err(createFailure('request-malformed', {reason}));
}
