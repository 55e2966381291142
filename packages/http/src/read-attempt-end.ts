import {Repetition} from '@tanagerrail/configuration';
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

/** Whose request a response belongs to, by the id that it echoes. */
export const ResponseIdentity = {
	/** The request that it was received for. */
	own: 'own',
	/** Another request; for instance, a late copy of an earlier response. */
	other: 'other',
	/** Unknown, because it has no id. */
	none: 'none',
} as const;

/** One of the values of {@link ResponseIdentity}. */
export type ResponseIdentity = typeof ResponseIdentity[keyof typeof ResponseIdentity];

/** An attempt that has ended. */
export type EndedAttempt = {
	readonly end: AttemptEnd;
	/** The endpoint's response, if it may be forwarded. */
	readonly response?: RoutedResponse;
	/** Status of the response, if there was one. */
	readonly status?: number;
	/** Whose request the response belongs to, if there was one. */
	readonly identity?: ResponseIdentity;
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

/** Status of another endpoint that has taken over the address. */
const misdirectedStatus = 421;

/** Statuses with which a caller is told that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

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
	if (response.status !== misdirectedStatus) {
		selector.recordNotice(endpoint, metadata.notice);
	}

	if (metadata.report) {
		selector.updateReport(endpoint, metadata.report);
	}

	const isSuccess = response.status < 300;
	const identity = findIdentity(metadata.requestId, request.id);
	const seen = {status: response.status, identity};
	const isGenuine = identity === ResponseIdentity.own && (metadata.isGenuine || !isSuccess);
	if (!isGenuine) {
		// It may be the response to another request or to a probe, or one that was altered on the way, and more such bytes may follow. That holds for
		// refusals too: without the id, nothing shows that they belong to this request.
		exchange.drop();
		return {end: AttemptEnd.lost, failure: createFailure('answer-unidentified', parameters), ...seen};
	}

	if (metadata.isNotRun) {
		return {end: AttemptEnd.notRun, failure: createFailure('endpoint-refused', parameters), ...seen};
	}

	if (notRunStatuses.has(response.status) && request.route.repetition === Repetition.once) {
		// The endpoint does not guarantee what the status would promise to the caller.
		return {end: AttemptEnd.failed, failure: createFailure('endpoint-lost', parameters), ...seen};
	}

	if (isSuccess && response.isComplete) {
		profiles.record(request.route.name, clock() - startedAt, response.body.length);
	}

	const routedResponse: RoutedResponse = {response, endpoint, exchange};
	const end = response.status >= firstServerError ? AttemptEnd.failed : AttemptEnd.answered;
	return {
		end, response: routedResponse, failure: createFailure('endpoint-lost', parameters), ...seen,
	};
}

function findIdentity(responseId: string | undefined, requestId: string): ResponseIdentity {
	if (responseId === undefined) {
		return ResponseIdentity.none;
	}

	return responseId === requestId ? ResponseIdentity.own : ResponseIdentity.other;
}
