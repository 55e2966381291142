import type {Selection} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {HeldConnection} from './probe-client.js';
import type {Connection} from './connection-pool.js';
import {AttemptEnd, ResponseIdentity, type EndedAttempt} from './read-attempt-end.js';
import type {RoutedContext} from './routed-context.js';
import type {RoutedRequest} from './routed-request.js';

const logger = createLogger('http');

/** Input of {@link recordAttemptEnd}. */
export type RecordedAttempt = {
	readonly request: RoutedRequest;
	readonly context: RoutedContext;
	readonly selection: Selection<HeldConnection>;
	readonly ended: EndedAttempt;
	/** The connection that carried the attempt. */
	readonly connection: Connection;
	/** Monotonic time at which the request was sent, in milliseconds. */
	readonly startedAt: number;
};

/**
 * Records what the end of an attempt says about its endpoint and about the request.
 *
 * @param attempt - The attempt and how it ended.
 */
export function recordAttemptEnd({request, context, selection: {endpoint, record}, ended: {end, failure, status, identity}, connection, startedAt}: RecordedAttempt): void {
	const {clock, meter, crashDetector} = context;
	const {id, service} = request;
	const now = clock();
	meter.countAttempt(service, end, now - startedAt);
	if (identity !== undefined && identity !== ResponseIdentity.own) {
		meter.countUnidentified(service, identity, end);
	}

	if (end === AttemptEnd.answered) {
		record.recordSuccess();
		crashDetector.recordSuccess(request);
		return;
	}

	// An endpoint that has responded, whatever the response, has not crashed.
	if (end === AttemptEnd.lost && identity === undefined) {
		void crashDetector.checkLoss(request, endpoint, startedAt);
	}

	record.recordFailure(now);
	logger.log(LogLevel.info, 'attempt-failed', {
		request: id, endpoint: endpoint.id, address: endpoint.address, end, failure: failure.id, ...(status !== undefined && {status, identity}),
		milliseconds: Math.round(now - startedAt), connectionAge: Math.round(now - connection.openedAt), connectionExchanges: connection.exchanges,
		failureShare: Number(record.computeFailureShare(now).toFixed(2)),
	});
}
