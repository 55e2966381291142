import {randomUUID} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {errors, type Dispatcher} from 'undici';
import {createFailure, Outcome, type Failure} from '@tanagerrail/results';
import {AttemptOutcome} from '@tanagerrail/routing';
import type {ConnectionPool} from './connection-pool.js';
import type {HeaderFields} from './forwarded-headers.js';

/**
 * Header with the id of an attempt. An endpoint that returns it protects its callers from a second copy of an earlier
 * response, which may arrive on a connection that is in use again. A refusal counts only with the id.
 */
export const attemptIdHeader = 'tanagerrail-attempt';

/** A request as it is sent to an endpoint. */
export type EndpointRequest = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: HeaderFields;
	readonly body: Uint8Array | undefined;
};

/** Options of one attempt. */
export type AttemptOptions = {
	readonly pool: ConnectionPool;
	readonly endpointId: string;
	readonly request: EndpointRequest;
	/** Time left until the deadline, in milliseconds. */
	readonly remainingMilliseconds: number;
	/** Longest idle time of a pooled connection that may be used, in milliseconds. */
	readonly maximumIdleMilliseconds: number;
	readonly signal: AbortSignal;
};

/** The head of a response and its unread body; the connection is released to its pool when the body has ended. */
export type EndpointResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Dispatcher.ResponseData['body'];
	/** Declared length of the body in bytes, if any. */
	readonly contentLength: number | undefined;
	readonly isDraining: boolean;
};

/** An attempt that failed without a response. */
export type AttemptFailure = {
	readonly outcome: AttemptOutcome;
	readonly failure: Failure;
};

/**
 * Sends a request to one endpoint over one connection and waits for the headers of the response.
 *
 * @param options - The request and its connection pool.
 * @returns The response, or how the attempt failed; with `refused` or `unreachable`, the request certainly did not run.
 */
export function sendAttempt(options: AttemptOptions): ResultAsync<EndpointResponse, AttemptFailure> {
	return new ResultAsync(runAttempt(options));
}

async function runAttempt({pool, endpointId, request, remainingMilliseconds, maximumIdleMilliseconds, signal}: AttemptOptions): Promise<Result<EndpointResponse, AttemptFailure>> {
	const connection = pool.take(maximumIdleMilliseconds);
	const attemptId = randomUUID();
	try {
		const response = await connection.dispatcher.request({
			method: request.method,
			path: request.target,
			headers: {...request.headers, 'request-timeout': String(Math.max(1, Math.floor(remainingMilliseconds))), [attemptIdHeader]: attemptId},
			body: request.body ?? null,
			signal,
		});
		const {headers: {[attemptIdHeader]: returnedId, ...headers}, body, statusCode} = response;
		if (returnedId !== undefined && returnedId !== attemptId) {
			body.on('error', () => {/* The response is not used. */});
			pool.drop(connection);
			return err({outcome: AttemptOutcome.failure, failure: createFailure('answer-incomplete', {endpoint: endpointId})});
		}

		body.once('end', () => {
			pool.release(connection);
		});
		body.once('error', () => {
			pool.drop(connection);
		});
		if (statusCode === 503 && headers['tanagerrail-outcome'] === Outcome.notRun) {
			await body.dump();
			// Without the id, nothing shows that the refusal belongs to this attempt.
			if (returnedId === undefined) {
				pool.drop(connection);
				return err({outcome: AttemptOutcome.failure, failure: createFailure('answer-unidentified', {endpoint: endpointId})});
			}

			return err({outcome: AttemptOutcome.refused, failure: createFailure('endpoint-refused', {endpoint: endpointId})});
		}

		return ok({
			status: statusCode,
			headers,
			body,
			contentLength: headers['content-length'] === undefined ? undefined : Number(headers['content-length']),
			isDraining: headers['endpoint-state'] === 'draining',
		});
	} catch (error) {
		pool.drop(connection);
		return err(describeError(error, endpointId, signal));
	}
}

function describeError(error: unknown, endpointId: string, signal: AbortSignal): AttemptFailure {
	const parameters = {endpoint: endpointId};
	if (signal.aborted) {
		return signal.reason === AttemptOutcome.timeout
			? {outcome: AttemptOutcome.timeout, failure: createFailure('endpoint-timeout', parameters)}
			: {outcome: AttemptOutcome.cancelled, failure: createFailure('request-aborted')};
	}

	// The error code alone is not enough: an open connection can also fail with EHOSTUNREACH after the request was sent.
	if ((error as NodeJS.ErrnoException).syscall === 'connect' || error instanceof errors.ConnectTimeoutError) {
		return {outcome: AttemptOutcome.unreachable, failure: createFailure('endpoint-unreachable', parameters)};
	}

	return {outcome: AttemptOutcome.crashed, failure: createFailure('endpoint-lost', parameters)};
}
