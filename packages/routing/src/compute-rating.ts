import type {EndpointReport} from './endpoint-record.js';

/** What decides how well an endpoint suits a request. */
export type EndpointRatingInput = {
	readonly report: EndpointReport;
	/** Requests sent to it by this host since the report. */
	readonly sentSinceReport: number;
	/** Whether it has just started. */
	readonly isCold: boolean;
};

/** Part of the slots above which endpoints slow down. */
const kneeShare = 0.8;

/** How much longer work takes above the knee. */
const kneeFactor = 1.7;

/** How much longer work takes on an endpoint that has just started. */
const coldFactor = 1.8;

/**
 * Rates an endpoint by the expected time until it has finished one more request.
 *
 * @param input - Its report and what this host knows besides.
 * @returns The expected time in usual durations of the work; lower is better.
 */
export function computeRating({report, sentSinceReport, isCold}: EndpointRatingInput): number {
	const slots = Math.max(1, report.slots);
	const occupied = report.running + report.waiting + sentSinceReport + 1;
	const queued = Math.max(0, occupied - slots) / slots;
	const fill = Math.min(1, occupied / slots);
	const pace = report.slowness * (fill > kneeShare ? kneeFactor : 1) * (isCold ? coldFactor : 1);
	// Among endpoints that are equally fast, the emptier one is better placed for what comes next.
	return (pace * (1 + queued)) + (0.1 * fill);
}

/**
 * Tells whether an endpoint has so many requests in its queue that it may refuse one more.
 *
 * @param input - Its report and what this host sent since.
 * @returns Whether its slots are taken and as many requests again wait.
 */
export function isFull({report, sentSinceReport}: Pick<EndpointRatingInput, 'report' | 'sentSinceReport'>): boolean {
	return report.running + report.waiting + sentSinceReport >= Math.max(1, report.slots) * 2;
}
