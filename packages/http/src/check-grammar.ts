import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createFailure, type Failure} from '@tanagerrail/results';

/** A token (RFC 9110, section 5.6.2): a method or a field name. */
const tokenPattern = /^[\w!#$%\u0026'*+.^`\|~\-]+$/v;

/** A field value (RFC 9110, section 5.5): visible characters, opaque bytes above ASCII, spaces and tabs. */
const fieldValuePattern = /^[\t -~\u0080-\u00FF]*$/v;

/** Characters of a request target (RFC 9112, section 3.2). */
const targetPattern = /^[!-~]+$/v;

/** Versions whose messages are framed as RFC 9112 describes. */
const supportedVersions = new Set(['1.0', '1.1']);

/** Head of a request as the HTTP parser passes it on. */
export type RequestHead = Pick<IncomingMessage, 'method' | 'url' | 'httpVersion' | 'rawHeaders'>;

/**
 * Checks the head of a request against the grammar of HTTP/1.1. Versions of the parser differ in what they accept, and what
 * one program accepts and the next one reads differently can smuggle a request past the first.
 *
 * @param head - The head.
 * @returns Nothing, or `request-malformed`.
 */
export function checkRequestGrammar({method = '', url = '', httpVersion, rawHeaders}: RequestHead): Result<void, Failure> {
	if (!tokenPattern.test(method) || !targetPattern.test(url)) {
		return refuseMalformed('the method or the target has characters that are not allowed');
	}

	if (!supportedVersions.has(httpVersion)) {
		return refuseMalformed('the version is not HTTP/1.0 or HTTP/1.1');
	}

	return checkFieldGrammar(rawHeaders);
}

/**
 * Checks the header or trailer fields of a request against the grammar.
 *
 * @param rawFields - Names and values by turns.
 * @returns Nothing, or `request-malformed`.
 */
export function checkFieldGrammar(rawFields: readonly string[]): Result<void, Failure> {
	const isMalformed = rawFields.some((text, index) => !(index % 2 === 0 ? tokenPattern : fieldValuePattern).test(text));
	return isMalformed ? refuseMalformed('a field name or value has characters that are not allowed') : ok(undefined);
}

/**
 * Tells whether the header or trailer fields of a response follow the grammar.
 *
 * @param fields - The fields by name.
 * @returns Whether all names and values do.
 */
export function hasWellFormedFields(fields: IncomingHttpHeaders): boolean {
	return Object.entries(fields).every(([name, value = '']) => tokenPattern.test(name) && [value].flat().every(text => fieldValuePattern.test(text)));
}

function refuseMalformed(reason: string): Result<void, Failure> {
	return err(createFailure('request-malformed', {reason}));
}
