/** Outcome of one attempt at an endpoint, which a host reports to the allocator when it releases the slot. */
export const AttemptOutcome = {
	/** A complete response with a status below 500. */
	success: 'success',
	/** A response with a status of 500 or above, or an incomplete response. */
	failure: 'failure',
	/** The endpoint responded that it did not run the request. */
	refused: 'refused',
	/** No connection could be opened. */
	unreachable: 'unreachable',
	/** The connection was lost after the request was sent and before a response began. */
	crashed: 'crashed',
	/** No response before the deadline. */
	timeout: 'timeout',
	/** The host cancelled the attempt. */
	cancelled: 'cancelled',
	/** The grant was not used. */
	unused: 'unused',
} as const;

/** One of the outcomes of an attempt. */
export type AttemptOutcome = typeof AttemptOutcome[keyof typeof AttemptOutcome];

/** Outcomes that count against the endpoint. */
export const failedOutcomes: ReadonlySet<AttemptOutcome> = new Set([
	AttemptOutcome.failure,
	AttemptOutcome.unreachable,
	AttemptOutcome.crashed,
	AttemptOutcome.timeout,
]);

/** Outcomes of attempts in which the endpoint certainly did not run the request. */
export const notRunOutcomes: ReadonlySet<AttemptOutcome> = new Set([
	AttemptOutcome.refused,
	AttemptOutcome.unreachable,
	AttemptOutcome.unused,
]);
