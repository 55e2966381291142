import {formatFailure, getOutcome, type Failure} from './failure.js';
import type {Outcome} from './outcome.js';
import {resultCodes} from './result-codes.js';

/** Media type of problem details (RFC 9457). */
export const problemMediaType = 'application/problem+json';

/** Problem details (RFC 9457) with the extension members `code` and `outcome`. */
export type ProblemDetails = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail: string;
	readonly code: number;
	readonly outcome: Outcome;
};

/**
 * Builds the problem details of a failure.
 *
 * @param failure - The failure to describe.
 * @returns The members of the JSON body.
 */
export function buildProblemDetails(failure: Failure): ProblemDetails {
	const {number, status} = resultCodes[failure.id];
	return {
		type: `urn:tanagerrail:result-code:${number}`,
		title: failure.id,
		status,
		detail: formatFailure(failure),
		code: number,
		outcome: getOutcome(failure),
	};
}
