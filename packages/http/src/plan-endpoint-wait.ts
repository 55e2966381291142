import type {QueueEntry} from '@tanagerrail/routing';
import type {RoutedRequest} from './routed-request.js';

/** Usual duration of a route before its first response, in milliseconds. */
const defaultUsualMilliseconds = 150;

/**
 * Highest (worst) rating of an endpoint that is selected without waiting. A rating is the expected time to finish the
 * request, as a multiple of the route's usual duration.
 */
const initialRatingLimit = 1.4;

/** Amount by which the rating limit rises while the request waits for one usual duration of the route. */
const ratingLimitSlope = 2;

/** Fraction of the latency objective for which a request waits for an endpoint, before each attempt. */
const endpointWaitShare = 0.6;

/** Time before the latency objective by which an attempt has to start, as a multiple of the route's usual duration. */
const startDurationFactor = 1.2;

/** How a request waits for an endpoint. */
export type EndpointWaitPlan = {
	/** Place of the request in the queue of its service. */
	readonly queueEntry: QueueEntry;
	/** Monotonic time at which the request is refused if there is no endpoint for it, in milliseconds. */
	readonly endAt: number;
};

/**
 * Plans how a request waits for an endpoint while those of its service are slow or have no free slot.
 *
 * @param request - The request.
 * @param since - Monotonic time at which it began to look for an endpoint: its arrival, or the end of its last attempt.
 * @param usual - Usual duration of its route in milliseconds; undefined before the first response.
 * @returns Its place in the queue and the end of the wait.
 */
export function planEndpointWait({route, arrivedAt, timeoutAt}: RoutedRequest, since: number, usual = defaultUsualMilliseconds): EndpointWaitPlan {
	const {rank, objectiveMilliseconds} = route;
	const waitMilliseconds = objectiveMilliseconds * endpointWaitShare;
	const startDuration = startDurationFactor * usual;
	return {
		queueEntry: {rank, arrivedAt, startBy: arrivedAt + objectiveMilliseconds - startDuration},
		endAt: Math.max(arrivedAt + waitMilliseconds, Math.min(since + waitMilliseconds, timeoutAt - startDuration)),
	};
}

/**
 * Computes the rating up to which an endpoint is selected. A fast endpoint that is selected after a short wait often finishes
 * before a slow one that is selected at once.
 *
 * @param waited - Time since the request arrived, in milliseconds.
 * @param usual - Usual duration of its route in milliseconds; undefined before the first response.
 * @returns The highest (worst) rating.
 */
export function computeRatingLimit(waited: number, usual = defaultUsualMilliseconds): number {
	return initialRatingLimit + (ratingLimitSlope * waited / usual);
}

/**
 * Computes the rating up to which a request may wait in the queue of an endpoint at the end of its wait on the host: the one at
 * which it is still expected to meet its latency objective.
 *
 * @param request - The request.
 * @param now - Monotonic time in milliseconds.
 * @param usual - Usual duration of its route in milliseconds; undefined before the first response.
 * @returns The highest (worst) rating.
 */
export function computeQueuedRatingLimit({route, arrivedAt}: RoutedRequest, now: number, usual = defaultUsualMilliseconds): number {
	return (arrivedAt + route.objectiveMilliseconds - now) / usual;
}
