import type {Selection} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {HeldConnection} from './probe-client.js';
import {AttemptEnd, type EndedAttempt} from './read-attempt-end.js';
import type {RoutedContext} from './routed-context.js';
import type {RoutedRequest} from './routed-request.js';

const logger = createLogger('http');

/** Input of {@link recordAttemptEnd}. */
export type RecordedAttempt = {
	readonly request: RoutedRequest;
	readonly context: RoutedContext;
	readonly selection: Selection<HeldConnection>;
	readonly ended: EndedAttempt;
	/** Monotonic time at which the request was sent, in milliseconds. */
	readonly startedAt: number;
};

/**
 * Records what the end of an attempt says about its endpoint and about the request.
 *
 * @param attempt - The attempt and how it ended.
 */
export function recordAttemptEnd({request, context, selection: {endpoint, record}, ended: {end, failure, status}, startedAt}: RecordedAttempt): void {
	const {clock, meter, crashDetector} = context;
	const {id, service} = request;
	const now = clock();
	meter.countAttempt(service, end, now - startedAt);
	if (end === AttemptEnd.answered) {
		record.recordSuccess();
		crashDetector.recordSuccess(request);
		return;
	}

	if (end === AttemptEnd.lost) {
		void crashDetector.checkLoss(request, endpoint, startedAt);
	}

	record.recordFailure(now);
	logger.log(LogLevel.info, 'attempt-failed', {
		request: id, endpoint: endpoint.id, end, failure: failure.id, ...(status !== undefined && {status}), milliseconds: Math.round(now - startedAt),
		failureShare: Number(record.computeFailureShare(now).toFixed(2)),
	});
}
