import type {EndpointReport} from './endpoint-record.js';

/** Inputs of {@link computeRating}. */
export type EndpointRatingInput = {
	readonly report: EndpointReport;
	/** Requests that this host has sent to the endpoint since the report. */
	readonly sentSinceReport: number;
	/** Whether the endpoint is in its warm-up after a start. */
	readonly isCold: boolean;
};

/** Share of occupied slots above which endpoints slow down: the knee of their latency curve. */
const kneeUtilization = 0.8;

/** Factor by which work takes longer above the knee. */
const kneeSlowdown = 1.7;

/** Factor by which work takes longer during the warm-up. */
const coldSlowdown = 1.8;

/**
 * Rates an endpoint by the expected time until it has finished one more request. The unit is the usual duration of the work.
 *
 * @param input - Its report, and the state that this host has recorded.
 * @returns The expected time as a multiple of the usual duration; lower is better.
 */
export function computeRating({report, sentSinceReport, isCold}: EndpointRatingInput): number {
	const slots = Math.max(1, report.slots);
	const occupied = report.running + report.waiting + sentSinceReport + 1;
	const queued = Math.max(0, occupied - slots) / slots;
	const utilization = Math.min(1, occupied / slots);
	const expectedDuration = report.slowness * (utilization > kneeUtilization ? kneeSlowdown : 1) * (isCold ? coldSlowdown : 1);
	// Among equally fast endpoints, the one with the lower utilization is preferred.
	return (expectedDuration * (1 + queued)) + (0.1 * utilization);
}

/**
 * Tells whether the queue of an endpoint is so long that it may refuse another request.
 *
 * @param input - Its report and the requests that this host has sent since.
 * @returns Whether all slots are occupied and at least as many requests wait.
 */
export function isFull({report, sentSinceReport}: Pick<EndpointRatingInput, 'report' | 'sentSinceReport'>): boolean {
	return report.running + report.waiting + sentSinceReport >= Math.max(1, report.slots) * 2;
}

/**
 * Tells whether one more request would have to wait in the queue of an endpoint.
 *
 * @param input - Its report and the requests that this host has sent since.
 * @returns Whether no slot is left for the request.
 */
export function hasNoFreeSlot({report, sentSinceReport}: Pick<EndpointRatingInput, 'report' | 'sentSinceReport'>): boolean {
	return report.running + report.waiting + sentSinceReport >= Math.max(1, report.slots);
}
