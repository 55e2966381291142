import {createFailure, type Failure} from '@tanagerrail/results';
import type {DirectoryEndpoint} from '@tanagerrail/routing';
import type {Exchange} from './exchange.js';
import type {RoutedContext} from './routed-context.js';
import type {RoutedRequest, RoutedResponse} from './routed-request.js';

/** How an attempt ended. */
export const AttemptEnd = {
	/** There is a response to forward. */
	answered: 'answered',
	/** The endpoint responded with a server error. */
	failed: 'failed',
	/** The request certainly did not run. */
	notRun: 'not-run',
	/** The request may have run, and there is no response to forward. */
	lost: 'lost',
} as const;

/** One of the values of {@link AttemptEnd}. */
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd];

/** An attempt that has ended. */
export type EndedAttempt = {
	readonly end: AttemptEnd;
	/** The endpoint's response, if it may be forwarded. */
	readonly response?: RoutedResponse;
	readonly failure: Failure;
};

/** Input of {@link readAttemptEnd}. */
export type AttemptInput = {
	readonly exchange: Exchange;
	readonly endpoint: DirectoryEndpoint;
	readonly request: RoutedRequest;
	readonly context: RoutedContext;
	/** Monotonic time at which the request was sent, in milliseconds. */
	readonly startedAt: number;
};

/** Lowest status that counts as a failure of the endpoint. */
const firstServerError = 500;

/**
 * Waits for the end of an attempt and decides whether its response may be forwarded.
 *
 * @param attempt - The exchange with the endpoint.
 * @returns How it ended; `not-run` only if the request certainly did not run and never will.
 */
export async function readAttemptEnd({exchange, endpoint, request, context, startedAt}: AttemptInput): Promise<EndedAttempt> {
	const parameters = {endpoint: endpoint.id};
	const result = await exchange.result;
	if (result.isErr()) {
		return result.error.wasSent
			? {end: AttemptEnd.lost, failure: createFailure('endpoint-lost', parameters)}
			: {end: AttemptEnd.notRun, failure: createFailure('endpoint-unreachable', parameters)};
	}

	const response = result.value;
	const {endpoints, selector, profiles, clock} = context;
	const metadata = endpoints.readResponse(response.status, response.headers);
	if (metadata.report) {
		selector.updateReport(endpoint, metadata.report);
	}

	const isSuccess = response.status < 300;
	const isForOtherRequest = metadata.requestId !== request.id && (isSuccess || metadata.requestId !== undefined);
	// A response to another request, or one that was altered on the way, is not forwarded.
	if (isForOtherRequest || (isSuccess && !metadata.isGenuine)) {
		exchange.drop();
		return {end: AttemptEnd.lost, failure: createFailure('answer-incomplete', parameters)};
	}

	if (metadata.isNotRun) {
		return {end: AttemptEnd.notRun, failure: createFailure('endpoint-refused', parameters)};
	}

	if (isSuccess && response.isComplete) {
		profiles.record(request.route.name, clock() - startedAt, response.body.length);
	}

	const routedResponse: RoutedResponse = {
		response,
		endpoint,
		abort() {
			exchange.abort();
		},
	};
	const end = response.status >= firstServerError ? AttemptEnd.failed : AttemptEnd.answered;
	return {end, response: routedResponse, failure: createFailure('endpoint-lost', parameters)};
}
