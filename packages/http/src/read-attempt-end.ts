import {createFailure, type Failure} from '@tanagerrail/results';
import type {DirectoryEndpoint} from '@tanagerrail/routing';
import type {Exchange} from './exchange.js';
import type {RoutedContext} from './routed-context.js';
import type {RoutedRequest, RoutedResponse} from './routed-request.js';

/** How an attempt ended. */
export const AttemptEnd = {
	/** A response to pass on. */
	answered: 'answered',
	/** A server error of the endpoint itself. */
	failed: 'failed',
	/** The request certainly did not run. */
	notRun: 'not-run',
	/** The request may have run, and there is no response to pass on. */
	lost: 'lost',
} as const;

/** One of the ends of an attempt. */
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd];

/** An attempt that has ended. */
export type EndedAttempt = {readonly end: AttemptEnd; /** The endpoint's response, where it may be passed on. */
	readonly answer?: RoutedResponse; readonly failure: Failure;};

/** What {@link readAttemptEnd} reads. */
export type AttemptToRead = {
	readonly exchange: Exchange;
	readonly endpoint: DirectoryEndpoint;
	readonly request: RoutedRequest;
	readonly context: RoutedContext;
	/** Monotonic time at which the request was sent, in milliseconds. */
	readonly startedAt: number;
};

/** Status from which a response is the endpoint's failure. */
const firstServerError = 500;

/**
 * Waits for the end of an attempt and decides what its response is worth.
 *
 * @param attempt - The exchange with the endpoint.
 * @returns How it ended; `not-run` only where the request certainly did not run and never will.
 */
export async function readAttemptEnd({exchange, endpoint, request, context, startedAt}: AttemptToRead): Promise<EndedAttempt> {
	const parameters = {endpoint: endpoint.id};
	const result = await exchange.result;
	if (result.isErr()) {
		return result.error.wasSent
			? {end: AttemptEnd.lost, failure: createFailure('endpoint-lost', parameters)}
			: {end: AttemptEnd.notRun, failure: createFailure('endpoint-unreachable', parameters)};
	}

	const response = result.value;
	const {endpoints, selector, profiles, clock} = context;
	const marks = endpoints.readResponse(response.status, response.headers);
	if (marks.report) {
		selector.updateReport(endpoint, marks.report);
	}

	const isSuccess = response.status < 300;
	const isOther = marks.requestId !== request.id && (isSuccess || marks.requestId !== undefined);
	// A response to another request, or one that something between has changed, is not passed on.
	if (isOther || (isSuccess && !marks.isGenuine)) {
		exchange.drop();
		return {end: AttemptEnd.lost, failure: createFailure('answer-incomplete', parameters)};
	}

	if (marks.isNotRun) {
		return {end: AttemptEnd.notRun, failure: createFailure('endpoint-refused', parameters)};
	}

	if (isSuccess && response.isComplete) {
		profiles.record(request.route.name, clock() - startedAt, response.body.length);
	}

	const answer: RoutedResponse = {
		response,
		endpoint,
		abort() {
			exchange.abort();
		},
	};
	const end = response.status >= firstServerError ? AttemptEnd.failed : AttemptEnd.answered;
	return {end, answer, failure: createFailure('endpoint-lost', parameters)};
}
