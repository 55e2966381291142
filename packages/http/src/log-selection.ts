import type {Selection} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {HeldConnection} from './probe-client.js';
import type {RoutedRequest} from './routed-request.js';

const logger = createLogger('http');

/**
 * Logs the selection of an endpoint with the values that it was based on.
 *
 * @param request - The caller's request.
 * @param selection - The selected endpoint and the reason.
 * @param attempt - Number of the attempt and the remaining time for it, in milliseconds.
 */
export function logSelection({id, service, revision}: RoutedRequest, {endpoint, reason}: Selection<HeldConnection>, {attempt, remaining}: {attempt: number; remaining: number}): void {
	const {rating, report, reportAge, probes, milliseconds, isLastResort} = reason;
	logger.log(LogLevel.info, 'endpoint-chosen', {
		request: id, service, revision, endpoint: endpoint.id, attempt, rating: Number(rating.toFixed(2)), report, reportAge: Math.round(reportAge),
		probes, selectionMilliseconds: Math.round(milliseconds), remaining: Math.round(remaining), ...(isLastResort && {isLastResort}),
	});
}
